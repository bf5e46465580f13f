#include "request/limit/internal/adaptivelimit.h"

namespace nutmegplank::request::limit {

namespace {

constexpr auto FAST_SHARE = 0.3;  //!< Weight of a new latency in the fast average.
constexpr auto SLOW_SHARE = 0.03; //!< The same in the slow one.
//! Time in which the best latency forgets most of what has not come again.
constexpr auto BEST_MEMORY = std::chrono::minutes(2);
constexpr auto TOLERANCE = 2.0; //!< Latency over the best one that does not shrink the limit.
constexpr auto LOWEST_GRADIENT = 0.5;
constexpr auto LIMIT_SHARE = 0.1; //!< Weight of a new target in the limit.
constexpr auto STEP_FACTOR = 3.0; //!< Latency over the usual one that speaks for a cold start.
constexpr auto STEP_ROW = 3U;     //!< So many times in a row,
//! and for so long: a single stall shows in all streams of a batch at once.
constexpr auto STEP_TIME = std::chrono::milliseconds(100);
constexpr auto SMALLEST_STEP = 0.01; //!< Seconds; less is noise.
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
    if (m_samples == 0) {
        m_best = m_usual = m_recent = seconds;
        m_lastAt = now;
    }
    if (isColdStart(seconds, now)) {
        becomeCold(now);
        return true;
    }
    ++m_samples;
    follow(seconds, running, now);
    return false;
}

auto AdaptiveLimit::isColdStart(double latency, base::TimePoint now) -> bool
{
    const auto isHigh = m_samples >= FEWEST_SAMPLES
        && latency > std::max(STEP_FACTOR * m_usual, m_usual + SMALLEST_STEP);
    if (!isHigh) {
        m_highInRow = 0;
        return false;
    }
    if (m_highInRow == 0)
        m_highSince = now;
    ++m_highInRow;
    return m_highInRow >= STEP_ROW && now - m_highSince >= STEP_TIME;
}

auto AdaptiveLimit::follow(double latency, std::uint32_t running, base::TimePoint now) -> void
{
    // The ramp of the warm-up is kept apart from what latency allows.
    const auto &options = m_warmUp.options();
    const auto most = static_cast<double>(std::max(options.coldLimit, options.warmLimit));
    mix(m_recent, latency, FAST_SHARE);
    if (m_highInRow == 0)
        mix(m_usual, latency, SLOW_SHARE);
    const auto passed = std::max(0.0, base::toSeconds(now - m_lastAt));
    const auto forgotten = std::min(1.0, passed / base::toSeconds(BEST_MEMORY));
    m_lastAt = now;
    m_best = std::min(latency, m_best + forgotten * (m_usual - m_best));
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
    m_limit = std::clamp(m_limit, 1.0, most);
}

} // namespace nutmegplank::request::limit
