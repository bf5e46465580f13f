#pragma once

#include <boost/asio/awaitable.hpp>

#include "base/enumtable.h"
#include "process/capacity/capacityplanner.h"
#include "version/metering/windowmeter.h"

namespace nutmegplank::process::capacity {

enum class DutyOutcome {
    Accepted,
    Conflict, //!< A higher fencing number was seen, or there are no servers to be had.
    Busy,     //!< Not done; may be repeated.
    Rejected, //!< The platform takes no such call.
    NoAnswer, //!< Done, not done, or done later.
};

constexpr auto DUTY_OUTCOME_NAMES = base::EnumTable<DutyOutcome, 5> { {
    { DutyOutcome::Accepted, "accepted" },
    { DutyOutcome::Conflict, "conflict" },
    { DutyOutcome::Busy, "busy" },
    { DutyOutcome::Rejected, "rejected" },
    { DutyOutcome::NoAnswer, "no_answer" },
} };

//! Calls to the platform that one machine at a time may make.
class IPlatformDuties
{
public:
    virtual ~IPlatformDuties() = default;

    virtual auto reportUsage(version::metering::ClosedWindow window, std::uint64_t fence)
        -> boost::asio::awaitable<DutyOutcome> = 0;
    virtual auto orderServers(CapacityOrder order, std::uint64_t fence)
        -> boost::asio::awaitable<DutyOutcome> = 0;
};

} // namespace nutmegplank::process::capacity
