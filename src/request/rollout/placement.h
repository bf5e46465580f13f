#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/timepoint.h"
#include "process/health/requestsize.h"
#include "version/routing/routingtable.h"

namespace nutmegplank::request::rollout {

//! Load and capacity of an engine.
struct EngineLoad
{
    std::string id;
    std::string service;
    std::string software; //!< Version of its software by its record; empty if not known.
    //! When its software was last known; unlimited if its service has a single version.
    base::TimePoint softwareAsOf = base::TimePoint::max();
    bool softwareSure = true; //!< The process that answers is the one of the record.
    std::uint32_t slots = 1;
    std::uint32_t running = 0;        //!< Items running in its slots.
    std::uint64_t cacheTokens = 0;    //!< Cache capacity in tokens; 0 if not known.
    std::uint64_t reservedTokens = 0; //!< Cache tokens that its running items will likely need.
    double slowdown = 1.0;            //!< Time per event relative to the median engine.
    double eventSeconds = 0;          //!< Expected time per event; 0 if not known of any engine.
    std::uint32_t startsLeft = 0;     //!< Further requests that may be sent to it now.
    //! Sizes for which it refuses requests now, though it may serve smaller ones.
    std::vector<process::health::RequestSize> refusedSizes;
    std::map<std::string, std::uint64_t> modelVersion; //!< Weight version by model.

    //! Software version of what it generates now; empty if not known for certain.
    auto confirmedSoftware() const -> std::string { return softwareSure ? software : ""; }
};

//! An item waiting for a slot at an engine.
struct WaitingItem
{
    std::size_t handle = 0; //!< Set by the caller and returned in the assignment.
    std::string model;
    std::uint64_t minVersion = 0;      //!< Oldest weight version allowed.
    std::uint64_t expectedTokens = 0;  //!< Estimated output still to be generated.
    double remainingEvents = 1.0;      //!< Events still to be generated, by a cautious estimate.
    std::uint64_t contextTokens = 0;   //!< Cache tokens needed at its start; set to the prompt's.
    process::health::RequestSize size; //!< Of the request that its next run sends.
    base::TimePoint dueAt {};
    std::string avoidedEngine;       //!< Engine that failed it, or was slow.
    bool hasText = false;            //!< The next run resumes a text.
    std::string software;            //!< Software version that began the text; empty if not known.
    base::TimePoint waitingSince {}; //!< When its last run ended.
    const version::routing::Route *route = nullptr; //!< Lists the services that may run it.
};

struct Assignment
{
    std::size_t handle = 0;
    std::size_t engine = 0; //!< Index into the list of engines.
};

//! Whether \a engine has a slot and may be sent a further request.
auto hasFreeSlot(const EngineLoad &engine) -> bool;
//! Whether \a engine serves the item's route with allowed weights, free or not.
auto mayServe(const WaitingItem &item, const EngineLoad &engine) -> bool;
//! Whether \a engine may run \a item now: it serves the item's route with allowed weights, and has
//! a slot and cache for the item's expected output.
auto canRunAt(const WaitingItem &item, const EngineLoad &engine) -> bool;
//! Whether \a engine may go on with the item's text, which only its own software version may. The
//! engine may have been replaced until the item's last run ended, so that older knowledge of its
//! software does not count.
auto canResumeAt(const WaitingItem &item, const EngineLoad &engine) -> bool;
//! Adds the item's run to the load of \a engine.
auto reserve(const WaitingItem &item, EngineLoad &engine) -> void;

//! Assigns waiting items to engines. A training step submits all its items at once and can continue
//! only when the last required one is done, so the longest item determines its duration. Items are
//! therefore placed by deadline, then longest first, each at the engine with the fewest concurrent
//! runs, weighted by its slowdown. Items that fit nowhere are left out. \a engines is updated with
//! the assignments.
auto placeItems(std::vector<WaitingItem> waiting, std::vector<EngineLoad> &engines)
    -> std::vector<Assignment>;

} // namespace nutmegplank::request::rollout
