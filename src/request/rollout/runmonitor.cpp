#include "request/rollout/runmonitor.h"

namespace nutmegplank::request::rollout {

namespace {

//! An engine that sends nothing for this long is considered lost. Events normally arrive every 30
//! to 200 ms, the latter at four times the usual load.
constexpr auto SILENCE_TIMEOUT = base::Duration(std::chrono::milliseconds(1300));
//! The same while the engine loads weights, which takes 0.9 s or more.
constexpr auto LOADING_SILENCE_TIMEOUT = base::Duration(std::chrono::milliseconds(3500));
//! Long items are moved away from engines with at least this slowdown.
constexpr auto SLOW_ENGINE_SLOWDOWN = 2.0;
//! Items with less expected output left are not worth moving.
constexpr auto MIN_MOVE_TOKENS = 400U;
//! Younger runs are not moved, because their engine may just have been filled with new items.
constexpr auto MIN_RUN_TIME = std::chrono::milliseconds(250);

} // namespace

auto checkProgress(const MonitoredRun &run, std::size_t &movesLeft) -> std::optional<RunTermination>
{
    if (run.silence > (run.loading ? LOADING_SILENCE_TIMEOUT : SILENCE_TIMEOUT))
        return RunTermination { RunEnd::Broken,
                                "engine sent no events within the silence timeout" };
    if (run.zoneOut)
        return RunTermination { RunEnd::Cancelled, "availability zone is out of service" };
    if (!run.hasRoute)
        return RunTermination { RunEnd::Cancelled, "route was removed from the configuration" };
    const auto isSlow = !run.loading && run.slowdown >= SLOW_ENGINE_SLOWDOWN;
    const auto worthMoving = run.expectedTokens >= MIN_MOVE_TOKENS && run.runTime >= MIN_RUN_TIME;
    if (!isSlow || !worthMoving || run.alreadyAvoided || movesLeft == 0)
        return std::nullopt;
    --movesLeft;
    return RunTermination { RunEnd::Cancelled, "engine is slow; moving the item" };
}

} // namespace nutmegplank::request::rollout
