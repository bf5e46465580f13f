#include "request/rollout/enginestates.h"

#include <algorithm>
#include <vector>

namespace nutmegplank::request::rollout {

namespace {

//! Weight of the newest interval. An engine that becomes slow is detected within about ten events.
constexpr auto SMOOTHING_FACTOR = 0.15;
//! Intervals required before the slowdown of an engine is computed.
constexpr auto MIN_INTERVALS = 8U;
//! Extra time per token for each further concurrent request, relative to the time for a single
//! one. The engines' data sheet gives 0.03 ms for the former and 0.65 ms for the latter.
constexpr auto CONCURRENCY_COST = 0.046;

} // namespace

auto EngineStates::noteVersion(const std::string &engine, std::int64_t incarnation,
                               const std::string &model, std::uint64_t version) -> void
{
    auto &state = m_engines[engine];
    if (incarnation > state.incarnation) {
        state.versions.clear();
        state.incarnation = incarnation;
    }
    if (incarnation == state.incarnation)
        state.versions[model] = std::max(state.versions[model], version);
}

auto EngineStates::version(const std::string &engine, std::int64_t incarnation,
                           const std::string &model) const -> std::uint64_t
{
    const auto found = m_engines.find(engine);
    if (found == m_engines.end() || found->second.incarnation != incarnation)
        return 0;
    const auto known = found->second.versions.find(model);
    return known == found->second.versions.end() ? 0 : known->second;
}

auto EngineStates::noteEventInterval(const std::string &engine, base::Duration interval,
                                     std::uint32_t running) -> void
{
    auto &state = m_engines[engine];
    const auto soloInterval = base::toSeconds(interval) / (1.0 + CONCURRENCY_COST * running);
    state.soloIntervalSeconds = state.intervalCount == 0
        ? soloInterval
        : state.soloIntervalSeconds + SMOOTHING_FACTOR * (soloInterval - state.soloIntervalSeconds);
    ++state.intervalCount;
}

auto EngineStates::updateMedian() -> void
{
    auto intervals = std::vector<double>();
    for (const auto &[engine, state] : m_engines) {
        if (state.intervalCount >= MIN_INTERVALS)
            intervals.push_back(state.soloIntervalSeconds);
    }
    if (intervals.empty())
        return;
    const auto middle = intervals.begin() + static_cast<std::ptrdiff_t>(intervals.size() / 2);
    std::ranges::nth_element(intervals, middle);
    m_medianIntervalSeconds = *middle;
}

auto EngineStates::slowdown(const std::string &engine) const -> double
{
    const auto found = m_engines.find(engine);
    if (found == m_engines.end() || found->second.intervalCount < MIN_INTERVALS
        || m_medianIntervalSeconds <= 0)
        return 1.0;
    return found->second.soloIntervalSeconds / m_medianIntervalSeconds;
}

auto EngineStates::eventInterval(const std::string &engine, std::uint32_t running) const
    -> base::Duration
{
    const auto found = m_engines.find(engine);
    if (found == m_engines.end())
        return base::Duration(0);
    const auto seconds = found->second.soloIntervalSeconds * (1.0 + CONCURRENCY_COST * running);
    return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(seconds));
}

auto EngineStates::setLoading(const std::string &engine, bool loading) -> void
{
    m_engines[engine].loading = loading;
}

auto EngineStates::loading(const std::string &engine) const -> bool
{
    const auto found = m_engines.find(engine);
    return found != m_engines.end() && found->second.loading;
}

} // namespace nutmegplank::request::rollout
