#include "request/limit/internal/adaptivelimit.h"

namespace nutmegplank::request::limit {

namespace {

constexpr auto FAST_SHARE = 0.3;   //!< Weight of a new latency in the fast average.
constexpr auto SLOW_SHARE = 0.03;  //!< The same in the slow one.
constexpr auto BEST_DRIFT = 0.001; //!< Part of the gap by which the best latency forgets.
constexpr auto TOLERANCE = 2.0;    //!< Latency over the best one that does not shrink the limit.
constexpr auto LOWEST_GRADIENT = 0.5;
constexpr auto LIMIT_SHARE = 0.1; //!< Weight of a new target in the limit.
constexpr auto STEP_FACTOR = 3.0; //!< Latency over the usual one that speaks for a cold start.
constexpr auto STEP_ROW = 3U;     //!< So many times in a row.
constexpr auto FEWEST_SAMPLES = 10U;

auto mix(double &average, double value, double share) -> void
{
    average += share * (value - average);
}

} // namespace

auto AdaptiveLimit::limit(base::TimePoint now) const -> std::uint32_t
{
    const auto ceiling = m_warmUp.ceiling(now);
    if (m_warmUp.isCold(now) || !m_measured)
        return ceiling;
    const auto byLatency = static_cast<std::uint32_t>(std::max(1.0, m_limit));
    return std::min(ceiling, byLatency);
}

auto AdaptiveLimit::becomeCold(base::TimePoint now) -> void
{
    m_warmUp.restart(now);
    m_measured = false;
    m_samples = 0;
    m_highInRow = 0;
}

auto AdaptiveLimit::becomeWarm(std::uint32_t running, base::TimePoint now) -> void
{
    m_warmUp.skip(running, now);
}

auto AdaptiveLimit::onLatency(base::Duration latency, std::uint32_t running, base::TimePoint now)
    -> bool
{
    const auto seconds = std::max(1e-6, base::toSeconds(latency));
    if (m_warmUp.isCold(now))
        return false;
    if (m_samples == 0)
        m_best = m_usual = m_recent = seconds;
    const auto isStep = m_samples >= FEWEST_SAMPLES && seconds > STEP_FACTOR * m_usual;
    m_highInRow = isStep ? m_highInRow + 1 : 0;
    if (m_highInRow >= STEP_ROW) {
        becomeCold(now);
        return true;
    }
    ++m_samples;
    follow(seconds, running, now);
    return false;
}

auto AdaptiveLimit::follow(double latency, std::uint32_t running, base::TimePoint now) -> void
{
    const auto most = static_cast<double>(m_warmUp.ceiling(now));
    mix(m_recent, latency, FAST_SHARE);
    if (m_highInRow == 0)
        mix(m_usual, latency, SLOW_SHARE);
    m_best = latency < m_best ? latency : m_best + BEST_DRIFT * (m_usual - m_best);
    const auto gradient = std::clamp(TOLERANCE * m_best / m_recent, LOWEST_GRADIENT, 1.0);
    if (!m_measured)
        m_limit = most;
    m_measured = true;
    const auto shrinks = gradient < 1.0;
    // A limit that is not used says nothing about whether more would be borne.
    if (!shrinks && running * 2.0 < m_limit)
        return;
    const auto headroom = std::max(1.0, std::sqrt(m_limit));
    mix(m_limit, m_limit * gradient + headroom, LIMIT_SHARE);
    m_limit = std::clamp(m_limit, 1.0, std::max<double>(most, m_warmUp.options().warmLimit));
}

} // namespace nutmegplank::request::limit
