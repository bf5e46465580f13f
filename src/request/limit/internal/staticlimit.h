#pragma once

#include "request/limit/internal/warmup.h"

namespace nutmegplank::request::limit {

//! Baseline for comparison: the warm limit after the warm-up, independent of latency.
class StaticLimit : public ILimit
{
public:
    StaticLimit(LimitOptions options, base::TimePoint now)
        : m_warmUp(options, now)
    { }

    auto limit(base::TimePoint now) const -> std::uint32_t override
    {
        return m_warmUp.ceiling(now);
    }
    auto isCold(base::TimePoint now) const -> bool override { return m_warmUp.isCold(now); }
    auto becomeCold(base::TimePoint now) -> void override { m_warmUp.restart(now); }
    auto becomeWarm(std::uint32_t running, base::TimePoint now) -> void override
    {
        m_warmUp.skip(running, now);
    }
    auto onLatency(base::Duration, std::uint32_t, base::TimePoint) -> bool override
    {
        return false;
    }

private:
    WarmUp m_warmUp;
};

} // namespace nutmegplank::request::limit
