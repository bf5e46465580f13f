#include "request/limit/internal/warmup.h"

namespace nutmegplank::request::limit {

namespace {

//! Length of the ramp after the warm-up, as a part of the warm-up.
constexpr auto RAMP_PART = 0.25;

} // namespace

auto WarmUp::restart(base::TimePoint now) -> void
{
    m_coldSince = now;
    m_reached = 0;
}

auto WarmUp::skip(std::uint32_t reached, base::TimePoint now) -> void
{
    m_coldSince = std::min(m_coldSince, now - m_options.warmUp);
    m_reached = std::max(m_reached, reached);
}

auto WarmUp::isCold(base::TimePoint now) const -> bool
{
    return now < m_coldSince + m_options.warmUp;
}

auto WarmUp::ceiling(base::TimePoint now) const -> std::uint32_t
{
    const auto most = std::max(m_options.coldLimit, m_options.warmLimit);
    if (isCold(now))
        return m_options.coldLimit;
    const auto ramp = base::toSeconds(m_options.warmUp) * RAMP_PART;
    const auto climbed = base::toSeconds(now - m_coldSince - m_options.warmUp);
    if (climbed >= ramp)
        return most;
    const auto climb = (most - m_options.coldLimit) * climbed / ramp;
    const auto reached = std::min(m_reached, most);
    return std::max(reached, m_options.coldLimit + static_cast<std::uint32_t>(climb));
}

} // namespace nutmegplank::request::limit
