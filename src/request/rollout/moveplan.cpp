#include "request/rollout/moveplan.h"

#include <algorithm>

namespace nutmegplank::request::rollout {

namespace {

//! Items are moved away from engines with at least this slowdown.
constexpr auto SLOW_ENGINE_SLOWDOWN = 2.0;
//! Slower engines are not worth moving a run to.
constexpr auto MAX_TARGET_SLOWDOWN = 1.4;
//! Items with less expected output left are not worth moving.
constexpr auto MIN_MOVE_TOKENS = 400U;
//! Younger runs are not moved, because their engine may just have been filled with new items.
constexpr auto MIN_RUN_TIME = base::Duration(std::chrono::milliseconds(250));
//! The same for an item that was placed at the engine again after a move.
constexpr auto MIN_RUN_TIME_AFTER_MOVE = base::Duration(std::chrono::milliseconds(1000));

auto isWorthMoving(const RunningItem &running) -> bool
{
    const auto minRunTime = running.movedBefore ? MIN_RUN_TIME_AFTER_MOVE : MIN_RUN_TIME;
    return running.slowdown >= SLOW_ENGINE_SLOWDOWN
        && running.item.expectedTokens >= MIN_MOVE_TOKENS && running.runTime >= minRunTime;
}

} // namespace

auto isSlow(const EngineLoad &engine) -> bool
{
    return engine.slowdown >= SLOW_ENGINE_SLOWDOWN;
}

auto planMoves(std::vector<RunningItem> running, std::vector<EngineLoad> &engines)
    -> std::vector<std::size_t>
{
    std::erase_if(running, [](const RunningItem &entry) { return !isWorthMoving(entry); });
    std::ranges::stable_sort(running, std::greater(), [](const RunningItem &entry) {
        return static_cast<double>(entry.item.expectedTokens) * entry.slowdown;
    });
    auto moves = std::vector<std::size_t>();
    for (const auto &entry : running) {
        const auto target = std::ranges::find_if(engines, [&](const EngineLoad &engine) {
            return engine.slowdown < MAX_TARGET_SLOWDOWN && canRunAt(entry.item, engine);
        });
        if (target == engines.end())
            continue;
        reserve(entry.item, *target);
        moves.push_back(entry.item.handle);
    }
    return moves;
}

} // namespace nutmegplank::request::rollout
