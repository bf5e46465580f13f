#pragma once

#include <optional>
#include <string_view>

#include "request/rollout/itemrun.h"

namespace nutmegplank::request::rollout {

//! State of a run in progress.
struct MonitoredRun
{
    base::Duration silence { 0 };     //!< Time since its last event.
    base::Duration runTime { 0 };     //!< Time since its start.
    std::uint64_t expectedTokens = 0; //!< Estimated output still to be generated.
    double slowdown = 1.0;       //!< Time per event of its engine relative to the median engine.
    bool loading = false;        //!< Its engine is loading weights and sends no events meanwhile.
    bool zoneOut = false;        //!< The engine's availability zone is out of service.
    bool hasRoute = true;        //!< The item's route still exists in the configuration.
    bool alreadyAvoided = false; //!< The item left this engine once, as slow or failing.
};

struct RunTermination
{
    RunEnd end = RunEnd::Cancelled;
    std::string_view reason;
};

//! Returns how a run should be ended now, or nullopt if it may continue. Detects engines that stop
//! responding, and engines that become slow while a training step waits for its longest item. After
//! a move the next engine has to process the item's context again, so only items with much output
//! left are moved. Each move decrements \a movesLeft, the limit per tick.
auto checkProgress(const MonitoredRun &run, std::size_t &movesLeft)
    -> std::optional<RunTermination>;

} // namespace nutmegplank::request::rollout
