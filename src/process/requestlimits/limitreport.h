#pragma once

#include <cstdint>
#include <optional>

#include "base/timepoint.h"

namespace nutmegplank::process::requestlimits {

//! What a server said about its limit in a response.
struct LimitObservation
{
    std::optional<double> perSecond; //!< Nothing if the response named no limit.
    base::TimePoint at {};
};

//! What one machine tells the others about a server that has named a limit.
struct LimitReport
{
    std::uint64_t server = 0;                    //!< Hash of the server's id.
    std::optional<LimitObservation> observation; //!< Only if the machine made it itself.
    double demand = 0;                           //!< Requests per second that it sends there.
};

} // namespace nutmegplank::process::requestlimits
