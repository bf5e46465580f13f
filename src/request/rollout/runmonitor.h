#pragma once

#include <optional>
#include <string_view>

#include "request/rollout/itemrun.h"

namespace nutmegplank::request::rollout {

//! State of a run in progress.
struct MonitoredRun
{
    base::Duration silence { 0 }; //!< Time since its last event.
    base::Duration eventInterval {
        0
    };                                 //!< Usual time between events of its engine; 0 if not known.
    std::uint32_t earlierSilences = 0; //!< Runs of the item that were ended as silent.
    bool registered = true;            //!< Its engine is in the list of servers.
    bool restarted = false; //!< Its engine is another process by now; this one's runs are gone.
    bool loading = false;   //!< Its engine is loading weights and sends no events meanwhile.
    bool zoneOut = false;   //!< The engine's availability zone is out of service.
    bool hasRoute = true;   //!< The item's route still exists in the configuration.
};

struct RunTermination
{
    RunEnd end = RunEnd::Cancelled;
    std::string_view reason;
    bool silent = false; //!< The engine sent no events.
};

//! Returns how a run should be ended now, or nullopt if it may continue. An engine counts as silent
//! by its events, not by its bytes, and by the interval in which it usually sends them. Each run of
//! an item that was ended as silent doubles the limit for the next, so that an engine which is slow
//! but sound finishes the item in the end.
auto checkProgress(const MonitoredRun &run) -> std::optional<RunTermination>;

} // namespace nutmegplank::request::rollout
