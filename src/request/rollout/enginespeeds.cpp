#include "request/rollout/enginespeeds.h"

#include <algorithm>
#include <vector>

namespace nutmegplank::request::rollout {

namespace {

//! Weight of the newest interval. With a handful of runs an engine that turns slow is seen within
//! two intervals of each.
constexpr auto SMOOTHING_FACTOR = 0.3;
//! Intervals required before the engine's own speed counts.
constexpr auto MIN_SAMPLES = 3U;
//! After this time without events the usual speed counts again.
constexpr auto RECENT_LIFETIME = base::Duration(std::chrono::seconds(2));
//! Engines that were replaced do not come back under their id.
constexpr auto KNOWLEDGE_LIFETIME = base::Duration(std::chrono::minutes(5));
constexpr auto WINDOW = base::Duration(std::chrono::seconds(1));
constexpr auto MIN_WINDOW_SAMPLES = 4U;
constexpr auto MAX_WINDOWS = std::size_t(30);
//! Engines are of different kinds if the fifth fastest of each 25 and the fifth slowest differ by
//! this factor. Phases in which fewer engines are slow do not count.
constexpr auto KINDS_FACTOR = 1.2;
constexpr auto KIND_SHARE = 0.2;
constexpr auto MIN_ENGINES_FOR_KINDS = std::size_t(5);

} // namespace

auto EngineSpeeds::noteInterval(const std::string &engine, base::Duration interval,
                                base::TimePoint now) -> void
{
    auto &state = m_engines[engine];
    const auto seconds = base::toSeconds(interval);
    const auto isFirst = state.samples == 0 || now - state.recentAt > RECENT_LIFETIME;
    state.recentSeconds = isFirst
        ? seconds
        : state.recentSeconds + SMOOTHING_FACTOR * (seconds - state.recentSeconds);
    state.recentAt = now;
    ++state.samples;
    if (now - state.windowStart > WINDOW) {
        if (state.windowSamples >= MIN_WINDOW_SAMPLES)
            state.windowMeans.push_back(state.windowSum / state.windowSamples);
        if (state.windowMeans.size() > MAX_WINDOWS)
            state.windowMeans.pop_front();
        state.windowStart = now;
        state.windowSum = 0;
        state.windowSamples = 0;
    }
    state.windowSum += seconds;
    ++state.windowSamples;
}

auto EngineSpeeds::usualSeconds(const State &state) -> double
{
    if (state.windowMeans.empty())
        return state.windowSum / state.windowSamples;
    return *std::ranges::min_element(state.windowMeans);
}

auto EngineSpeeds::eventSeconds(const std::string &engine, base::TimePoint now) const -> double
{
    const auto found = m_engines.find(engine);
    if (found == m_engines.end() || found->second.samples < MIN_SAMPLES)
        return m_middleSeconds;
    const auto &state = found->second;
    return now - state.recentAt > RECENT_LIFETIME ? usualSeconds(state) : state.recentSeconds;
}

auto EngineSpeeds::update(base::TimePoint now) -> void
{
    std::erase_if(m_engines, [now](const auto &entry) {
        return now - entry.second.recentAt > KNOWLEDGE_LIFETIME;
    });
    auto usual = std::vector<double>();
    for (const auto &[engine, state] : m_engines) {
        if (state.samples >= MIN_SAMPLES)
            usual.push_back(usualSeconds(state));
    }
    if (usual.empty())
        return;
    std::ranges::sort(usual);
    m_middleSeconds = usual[usual.size() / 2];
    const auto kindSize = static_cast<std::size_t>(KIND_SHARE * static_cast<double>(usual.size()));
    m_hasKinds = usual.size() >= MIN_ENGINES_FOR_KINDS
        && usual[usual.size() - 1 - kindSize] >= KINDS_FACTOR * usual[kindSize];
}

} // namespace nutmegplank::request::rollout
