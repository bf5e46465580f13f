#include "request/limit/internal/warmup.h"

namespace nutmegplank::request::limit {

namespace {

//! Length of the ramp after the warm-up, as a fraction of the warm-up.
constexpr auto RAMP_FRACTION = 0.25;

} // namespace

auto WarmUp::restart(base::TimePoint now) -> void
{
    m_coldSince = now;
    m_observedRunning = 0;
}

auto WarmUp::skip(std::uint32_t running, base::TimePoint now) -> void
{
    m_coldSince = std::min(m_coldSince, now - m_options.warmUp);
    m_observedRunning = std::max(m_observedRunning, running);
}

auto WarmUp::isCold(base::TimePoint now) const -> bool
{
    return now < m_coldSince + m_options.warmUp;
}

auto WarmUp::ceiling(base::TimePoint now) const -> std::uint32_t
{
    const auto maxLimit = std::max(m_options.coldLimit, m_options.warmLimit);
    if (isCold(now))
        return m_options.coldLimit;
    const auto ramp = base::toSeconds(m_options.warmUp) * RAMP_FRACTION;
    const auto rampElapsed = base::toSeconds(now - m_coldSince - m_options.warmUp);
    if (rampElapsed >= ramp)
        return maxLimit;
    const auto rampIncrease = (maxLimit - m_options.coldLimit) * rampElapsed / ramp;
    const auto observed = std::min(m_observedRunning, maxLimit);
    return std::max(observed, m_options.coldLimit + static_cast<std::uint32_t>(rampIncrease));
}

} // namespace nutmegplank::request::limit
