#pragma once

#include <vector>

#include "process/servers/servertable.h"
#include "request/rollout/engineloadtracker.h"
#include "request/rollout/enginestates.h"
#include "request/rollout/lengthhistory.h"
#include "request/rollout/openbatches.h"

namespace nutmegplank::request::rollout {

//! A run that was ended so that its item goes on at a faster engine.
struct RunMove
{
    ItemKey key;
    std::string from;
    std::string to;
    base::Duration endHere { 0 };     //!< Predicted time to its end without the move.
    base::Duration endAtTarget { 0 }; //!< The same with the move.
};

//! Watches the runs in progress: ends those that cannot finish where they are, and moves long ones
//! away from slow engines. All references must outlive it.
class RunSupervisor
{
public:
    RunSupervisor(OpenBatches &batches, process::servers::ServerTable &servers,
                  EngineStates &engines, EngineLoadTracker &loadTracker)
        : m_batches(batches)
        , m_servers(servers)
        , m_engines(engines)
        , m_loadTracker(loadTracker)
    { }

    //! Ends runs whose engine is silent or must not be used any more.
    auto endFailedRuns(base::TimePoint now) -> void;
    //! Moves items away from slow engines, as far as \a engines have room left for them.
    auto moveRuns(std::vector<EngineLoad> &engines, base::TimePoint now) -> void;
    //! Moves items to engines at which they end earlier, as far as \a engines have room left.
    auto moveToFaster(std::vector<EngineLoad> &engines, const LengthHistory &lengths,
                      base::TimePoint now) -> std::vector<RunMove>;

private:
    auto superviseRun(OpenItem &item, base::TimePoint now) -> void;
    auto sampleEventInterval(OpenItem &item, base::TimePoint now) -> void;

    OpenBatches &m_batches;
    process::servers::ServerTable &m_servers;
    EngineStates &m_engines;
    EngineLoadTracker &m_loadTracker;
};

} // namespace nutmegplank::request::rollout
