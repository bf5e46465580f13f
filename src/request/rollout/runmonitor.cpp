#include "request/rollout/runmonitor.h"

#include <algorithm>

namespace nutmegplank::request::rollout {

namespace {

//! An engine that sends nothing for this long is considered lost, unless its events are that far
//! apart.
constexpr auto MIN_SILENCE_TIMEOUT = base::Duration(std::chrono::milliseconds(1300));
//! The same while the engine loads weights, which takes 0.9 s or more.
constexpr auto LOADING_SILENCE_TIMEOUT = base::Duration(std::chrono::milliseconds(3500));
//! Pauses of a sound engine stay below this many of its usual intervals.
constexpr auto SILENT_INTERVALS = 8;
constexpr auto MAX_DOUBLINGS = 4U;

auto silenceTimeout(const MonitoredRun &run) -> base::Duration
{
    const auto shortest = run.loading ? LOADING_SILENCE_TIMEOUT : MIN_SILENCE_TIMEOUT;
    const auto timeout = std::max(shortest, run.eventInterval * SILENT_INTERVALS);
    // An engine that is not registered any more is lost rather than slow.
    if (!run.registered)
        return timeout;
    return timeout * (1 << std::min(run.earlierSilences, MAX_DOUBLINGS));
}

} // namespace

auto checkProgress(const MonitoredRun &run) -> std::optional<RunTermination>
{
    if (run.restarted)
        return RunTermination { RunEnd::Broken, "engine was restarted" };
    if (run.silence > silenceTimeout(run))
        return RunTermination { RunEnd::Broken, "engine sent no events within the silence timeout",
                                true };
    if (run.zoneOut)
        return RunTermination { RunEnd::Cancelled, "availability zone is out of service" };
    if (!run.hasRoute)
        return RunTermination { RunEnd::Cancelled, "route was removed from the configuration" };
    return std::nullopt;
}

} // namespace nutmegplank::request::rollout
