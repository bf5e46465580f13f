#include "request/rollout/placement.h"

#include <algorithm>
#include <limits>

namespace nutmegplank::request::rollout {

namespace {

//! Share of an engine's cache that expected tokens may use. The rest is a reserve, as the estimates
//! are right only for the median item, and an engine that runs out of cache preempts a run and has
//! to process its context again later.
constexpr auto MAX_CACHE_SHARE = 0.85;
//! Items whose deadlines are in the same bucket are ordered by length only.
constexpr auto DEADLINE_BUCKET = std::chrono::milliseconds(1500);
//! Extra cost of weights that are not the newest, in concurrent runs.
constexpr auto STALE_WEIGHTS_PENALTY_RUNS = 0.75;
//! Extra cost of the engine that the item should avoid, in concurrent runs.
constexpr auto AVOIDED_ENGINE_PENALTY_RUNS = 6.0;

auto hasPriority(const WaitingItem &left, const WaitingItem &right) -> bool
{
    const auto leftBucket = left.dueAt.time_since_epoch() / base::Duration(DEADLINE_BUCKET);
    const auto rightBucket = right.dueAt.time_since_epoch() / base::Duration(DEADLINE_BUCKET);
    if (leftBucket != rightBucket)
        return leftBucket < rightBucket;
    return left.expectedTokens > right.expectedTokens;
}

auto servesRoute(const EngineLoad &engine, const version::routing::Route &route) -> bool
{
    return std::ranges::any_of(route.services, [&](const version::routing::ServiceShare &share) {
        return share.weight > 0 && share.service == engine.service;
    });
}

auto newestVersion(const std::string &model, const std::vector<EngineLoad> &engines)
    -> std::uint64_t
{
    auto newest = std::uint64_t(0);
    for (const auto &engine : engines) {
        const auto version = engine.modelVersion.find(model);
        if (version != engine.modelVersion.end())
            newest = std::max(newest, version->second);
    }
    return newest;
}

auto placementCost(const WaitingItem &item, const EngineLoad &engine, std::uint64_t newest)
    -> double
{
    auto effectiveRuns = static_cast<double>(engine.running) + 1.0;
    if (engine.modelVersion.at(item.model) < newest)
        effectiveRuns += STALE_WEIGHTS_PENALTY_RUNS;
    if (engine.id == item.avoidedEngine)
        effectiveRuns += AVOIDED_ENGINE_PENALTY_RUNS;
    return effectiveRuns * engine.slowdown;
}

} // namespace

auto hasFreeSlot(const EngineLoad &engine) -> bool
{
    return engine.startsLeft > 0 && engine.running < engine.slots;
}

auto mayServe(const WaitingItem &item, const EngineLoad &engine) -> bool
{
    if (item.route == nullptr || !servesRoute(engine, *item.route))
        return false;
    const auto version = engine.modelVersion.find(item.model);
    return version != engine.modelVersion.end() && version->second >= item.minVersion;
}

auto canRunAt(const WaitingItem &item, const EngineLoad &engine) -> bool
{
    if (!hasFreeSlot(engine) || !mayServe(item, engine) || !canResumeAt(item, engine))
        return false;
    const auto isRefused = std::ranges::any_of(engine.refusedSizes, [&](const auto &refused) {
        return process::health::isAsLargeAs(item.size, refused);
    });
    if (isRefused)
        return false;
    // An idle engine may take an item of any size.
    if (engine.cacheTokens == 0 || engine.running == 0)
        return true;
    const auto neededTokens = engine.reservedTokens + item.contextTokens + item.expectedTokens;
    return static_cast<double>(neededTokens)
        <= MAX_CACHE_SHARE * static_cast<double>(engine.cacheTokens);
}

auto canResumeAt(const WaitingItem &item, const EngineLoad &engine) -> bool
{
    if (!item.hasText)
        return true;
    return !item.software.empty() && item.software == engine.confirmedSoftware()
        && engine.softwareAsOf >= item.waitingSince;
}

auto reserve(const WaitingItem &item, EngineLoad &engine) -> void
{
    ++engine.running;
    --engine.startsLeft;
    engine.reservedTokens += item.contextTokens + item.expectedTokens;
}

auto placeItems(std::vector<WaitingItem> waiting, std::vector<EngineLoad> &engines)
    -> std::vector<Assignment>
{
    std::ranges::stable_sort(waiting, hasPriority);
    auto newestVersions = std::map<std::string, std::uint64_t>();
    auto assignments = std::vector<Assignment>();
    for (const auto &item : waiting) {
        if (!newestVersions.contains(item.model))
            newestVersions[item.model] = newestVersion(item.model, engines);
        auto best = engines.size();
        auto bestCost = std::numeric_limits<double>::max();
        for (auto index = std::size_t(0); index < engines.size(); ++index) {
            if (!canRunAt(item, engines[index]))
                continue;
            const auto cost = placementCost(item, engines[index], newestVersions[item.model]);
            if (cost >= bestCost)
                continue;
            best = index;
            bestCost = cost;
        }
        if (best == engines.size())
            continue;
        reserve(item, engines[best]);
        assignments.push_back({ item.handle, best });
    }
    return assignments;
}

} // namespace nutmegplank::request::rollout
