#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/timepoint.h"
#include "process/health/requestsize.h"

namespace nutmegplank::request::scoring {

//! Load of a backend server that scores items beside its callers' requests.
struct ScoringServer
{
    std::string id;
    std::string service;
    std::uint32_t slots = 1;
    std::uint32_t running = 0;    //!< Scoring calls of this process.
    std::uint32_t startsLeft = 0; //!< Further requests that may be sent to it now.
    //! Sizes for which it refuses calls now, though it may serve smaller ones.
    std::vector<process::health::RequestSize> refusedSizes;
    base::Duration latency { 0 }; //!< Smoothed duration of its calls; 0 if not known.
};

//! A scoring call that is due.
struct WaitingCall
{
    std::size_t handle = 0; //!< Set by the caller and returned in the assignment.
    std::string service;
    base::TimePoint dueAt {}; //!< Deadline of the item's batch.
    std::uint32_t unfinishedInGroup =
        1;                     //!< Items of the group without a result, this one included.
    std::string avoidedServer; //!< Failed or did not answer the last call.
    process::health::RequestSize size;
};

struct CallAssignment
{
    std::size_t handle = 0;
    std::size_t server = 0; //!< Index into the list of servers.
};

//! Assigns waiting calls to servers. Suits a clump of short calls, all due at the end of a training
//! step, on servers that callers' latency-critical requests share: on each server some slots stay
//! free for the callers. Calls are placed by the deadline of their batch, then by the number of
//! items that their group still lacks, since a trainer counts whole groups only. Calls for which no
//! server has a free slot are left out. \a servers is updated with the assignments.
auto placeCalls(std::vector<WaitingCall> waiting, std::vector<ScoringServer> &servers)
    -> std::vector<CallAssignment>;

} // namespace nutmegplank::request::scoring
