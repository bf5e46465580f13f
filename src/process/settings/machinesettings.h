#pragma once

#include <cstdint>
#include <string>

#include "base/timepoint.h"
#include "version/journal/ijournal.h"

namespace nutmegplank::process::settings {

//! What a machine is told about itself and about the platform; an endpoint is "IP number:port".
struct MachineSettings
{
    std::string node; //!< Unique name of the machine.
    std::string ip;
    std::string zone;
    std::string region;
    std::string callerEndpoint;    //!< Where callers connect.
    std::string readinessEndpoint; //!< Where the platform asks whether the machine is ready.
    std::string directoryEndpoint; //!< Where callers ask which machines to use.
    std::string storeEndpoint;
    std::string cloudEndpoint; //!< Takes usage reports and orders of servers; may be empty.
    version::journal::AppendLimits appendLimits;
    base::Duration usageWindow = std::chrono::seconds(5);
    base::Duration grace = std::chrono::seconds(8);  //!< From SIGTERM to SIGKILL.
    base::Duration settle = std::chrono::seconds(1); //!< After a 202 the batch is known everywhere.
    base::Duration resultMemory = std::chrono::seconds(120); //!< Results are kept this long.
    //! Engines and the platform refuse calls with an outdated fencing number.
    bool peersCheckFences = true;
    //! Two machines must not act as lease holders by turns within this time.
    base::Duration holderTurn = std::chrono::seconds(3);
    double cpuShare = 1.0;                                 //!< Of a core.
    std::uint64_t memoryBytes = 0;                         //!< Of the process; 0 if not known.
    std::uint32_t descriptors = 0;                         //!< Of the process; 0 if not known.
    base::Duration directoryTtl = std::chrono::seconds(5); //!< Longest that counts.
};

} // namespace nutmegplank::process::settings
