#pragma once

#include <map>
#include <optional>
#include <string>

#include <absl/status/statusor.h>
#include <boost/asio/awaitable.hpp>

#include "base/timepoint.h"
#include "process/inventory/iinventory.h"
#include "process/reports/loadreports.h"

namespace nutmegplank::version::weights {

//! Status that an engine reports in its answer to GET /v1/status.
struct EngineStatus
{
    std::string bootId; //!< Changes with each start of the engine.
    std::string model;
    std::uint64_t weightVersion = 0;
    std::uint32_t running = 0;
    base::TimePoint receivedAt {}; //!< When this process received the status.
};

//! Requests GET /v1/status from the engine at \a endpoint. Returns an error when the request fails
//! or the answer is not status 200 with a JSON object.
auto fetchStatus(std::string endpoint) -> boost::asio::awaitable<absl::StatusOr<EngineStatus>>;

//! Caches the last status of each engine and schedules the next poll. Load reports of dispatchers
//! only indicate which engines to poll sooner: a dispatcher learns an engine's weight version from
//! the engine's next response, so its reports may be out of date.
class StatusCache
{
public:
    //! Returns whether \a server is due for a poll, and if so marks the poll as in flight.
    //! \a loadInProgress shortens the poll interval.
    auto beginPollIfDue(const process::inventory::BackendServer &server,
                        const process::reports::ServerLoads &loads, bool loadInProgress,
                        base::TimePoint now) -> bool;
    //! Ends the poll in flight and stores its result.
    auto store(const std::string &server, absl::StatusOr<EngineStatus> status, base::TimePoint now)
        -> void;
    //! The last status; null if there is none or the last polls failed.
    auto find(const std::string &server) const -> const EngineStatus *;
    //! Removes the entries of servers that are not in \a view.
    auto keepOnly(const process::inventory::ServerView &view) -> void;

private:
    struct Entry
    {
        std::optional<EngineStatus> status;
        base::TimePoint lastPoll {};
        bool pollInFlight = false;
        std::uint32_t failures = 0;
    };

    std::map<std::string, Entry> m_entries; //!< By server id.
};

} // namespace nutmegplank::version::weights
