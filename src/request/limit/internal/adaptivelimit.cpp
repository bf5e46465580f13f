#include "request/limit/internal/adaptivelimit.h"

namespace nutmegplank::request::limit {

namespace {

constexpr auto SHORT_TERM_WEIGHT = 0.3; //!< Weight of a new sample in the short-term average.
constexpr auto LONG_TERM_WEIGHT = 0.03; //!< Weight of a new sample in the long-term average.
//! Time over which the lowest latency decays to the long-term average unless it is seen again.
constexpr auto LOWEST_LATENCY_DECAY_TIME = std::chrono::minutes(2);
//! Multiple of the lowest latency up to which the limit is not reduced.
constexpr auto LATENCY_TOLERANCE = 2.0;
constexpr auto MIN_GRADIENT = 0.5; //!< Bounds the reduction by a single sample.
constexpr auto LIMIT_WEIGHT = 0.1; //!< Weight of a new target value in the limit.
//! A cold start is detected when this many times the long-term latency is exceeded in a number of
//! consecutive samples and over a minimum time, as a single stall delays all streams of a batch.
constexpr auto COLD_START_FACTOR = 3.0;
constexpr auto COLD_START_SAMPLES = 3U;
constexpr auto COLD_START_DURATION = std::chrono::milliseconds(100);
constexpr auto MIN_LATENCY_STEP_SECONDS = 0.01; //!< A smaller rise is noise.
constexpr auto MIN_SAMPLES = 10U;               //!< Needed before a cold start can be detected.

auto updateAverage(double &average, double value, double weight) -> void
{
    average += weight * (value - average);
}

} // namespace

auto AdaptiveLimit::limit(base::TimePoint now) const -> std::uint32_t
{
    const auto ceiling = m_warmUp.ceiling(now);
    if (m_warmUp.isCold(now) || !m_hasLatency)
        return ceiling;
    const auto latencyLimit = static_cast<std::uint32_t>(std::max(1.0, m_limit));
    return std::min(ceiling, latencyLimit);
}

auto AdaptiveLimit::becomeCold(base::TimePoint now) -> void
{
    m_warmUp.restart(now);
    m_hasLatency = false;
    m_samples = 0;
    m_consecutiveHighSamples = 0;
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
        m_lowestLatency = m_longTermLatency = m_shortTermLatency = seconds;
        m_lastSampleAt = now;
    }
    if (isColdStart(seconds, now)) {
        becomeCold(now);
        return true;
    }
    ++m_samples;
    updateLimit(seconds, running, now);
    return false;
}

auto AdaptiveLimit::isColdStart(double latency, base::TimePoint now) -> bool
{
    const auto isHigh = m_samples >= MIN_SAMPLES
        && latency > std::max(COLD_START_FACTOR * m_longTermLatency,
                              m_longTermLatency + MIN_LATENCY_STEP_SECONDS);
    if (!isHigh) {
        m_consecutiveHighSamples = 0;
        return false;
    }
    if (m_consecutiveHighSamples == 0)
        m_highSince = now;
    ++m_consecutiveHighSamples;
    return m_consecutiveHighSamples >= COLD_START_SAMPLES
        && now - m_highSince >= COLD_START_DURATION;
}

auto AdaptiveLimit::updateLimit(double latency, std::uint32_t running, base::TimePoint now) -> void
{
    // The limit by latency is independent of the warm-up ramp, which limit() applies on top.
    const auto &options = m_warmUp.options();
    const auto maxLimit = static_cast<double>(std::max(options.coldLimit, options.warmLimit));
    updateAverage(m_shortTermLatency, latency, SHORT_TERM_WEIGHT);
    if (m_consecutiveHighSamples == 0)
        updateAverage(m_longTermLatency, latency, LONG_TERM_WEIGHT);
    const auto elapsed = std::max(0.0, base::toSeconds(now - m_lastSampleAt));
    const auto decay = std::min(1.0, elapsed / base::toSeconds(LOWEST_LATENCY_DECAY_TIME));
    m_lastSampleAt = now;
    m_lowestLatency =
        std::min(latency, m_lowestLatency + decay * (m_longTermLatency - m_lowestLatency));
    const auto gradient =
        std::clamp(LATENCY_TOLERANCE * m_lowestLatency / m_shortTermLatency, MIN_GRADIENT, 1.0);
    if (!m_hasLatency)
        m_limit = maxLimit;
    m_hasLatency = true;
    const auto isCongested = gradient < 1.0;
    // If less than half of the limit is used, the latency doesn't show whether the server could
    // handle more.
    if (!isCongested && running * 2.0 < m_limit)
        return;
    const auto headroom = std::max(1.0, std::sqrt(m_limit));
    updateAverage(m_limit, m_limit * gradient + headroom, LIMIT_WEIGHT);
    m_limit = std::clamp(m_limit, 1.0, maxLimit);
}

} // namespace nutmegplank::request::limit
