#pragma once

#include "request/limit/internal/warmup.h"

namespace nutmegplank::request::limit {

//! Gradient-based limit similar to TCP Vegas: is reduced while latency is well above the lowest one
//! seen and grows otherwise, up to the ceiling of the warm-up. A sudden step in latency is treated
//! as a cold start that was not reported.
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
    auto updateLimit(double latency, std::uint32_t running, base::TimePoint now) -> void;

    WarmUp m_warmUp;
    double m_limit;             //!< By latency alone, without the warm-up.
    bool m_hasLatency = false;  //!< Whether m_limit is based on samples since the last cold start.
    double m_lowestLatency = 0; //!< In seconds; rises slowly towards the long-term average.
    double m_longTermLatency = 0;  //!< Long-term average, in seconds.
    double m_shortTermLatency = 0; //!< Short-term average, in seconds.
    std::uint32_t m_samples = 0;
    base::TimePoint m_lastSampleAt {};
    base::TimePoint m_highSince {}; //!< Time of the first of the consecutive high samples.
    std::uint32_t m_consecutiveHighSamples = 0; //!< Consecutive samples that indicate a cold start.
};

} // namespace nutmegplank::request::limit
