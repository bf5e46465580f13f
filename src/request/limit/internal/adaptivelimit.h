#pragma once

#include "request/limit/internal/warmup.h"

namespace nutmegplank::request::limit {

//! Gradient limit in the manner of TCP Vegas: shrinks while latency stands well above the best one
//! seen, grows otherwise, always below the ceiling of the warm-up. A sudden step of latency at no
//! more load is taken for a cold start that nobody announced.
class AdaptiveLimit : public ILimit
{
public:
    AdaptiveLimit(LimitOptions options, base::TimePoint now)
        : m_warmUp(options, now)
        , m_limit(options.coldLimit)
    { }

    auto limit(base::TimePoint now) const -> std::uint32_t override;
    auto isCold(base::TimePoint now) const -> bool override { return m_warmUp.isCold(now); }
    auto becomeCold(base::TimePoint now) -> void override;
    auto becomeWarm(std::uint32_t running, base::TimePoint now) -> void override;
    auto onLatency(base::Duration latency, std::uint32_t running, base::TimePoint now)
        -> bool override;

private:
    auto isColdStart(double latency, base::TimePoint now) -> bool;
    auto follow(double latency, std::uint32_t running, base::TimePoint now) -> void;

    WarmUp m_warmUp;
    double m_limit;          //!< By latency alone, once the server is warm.
    bool m_measured = false; //!< Whether latency has ever lowered the limit since the last start.
    double m_best = 0;       //!< Lowest latency, in seconds; drifts up slowly.
    double m_usual = 0;      //!< Slow average.
    double m_recent = 0;     //!< Fast average.
    std::uint32_t m_samples = 0;
    base::TimePoint m_lastAt {};
    base::TimePoint m_highSince {};
    std::uint32_t m_highInRow = 0; //!< Latencies in a row that look like a cold start.
};

} // namespace nutmegplank::request::limit
