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

//! What an engine says of itself.
struct EngineStatus
{
    std::string bootId;
    std::string model;
    std::uint64_t weightVersion = 0;
    std::uint32_t running = 0;
    base::TimePoint heard {};
};

//! Asks an engine, by GET /v1/status.
auto fetchStatus(std::string endpoint) -> boost::asio::awaitable<absl::StatusOr<EngineStatus>>;

//! Which engines to ask, and what they said last. Reports of dispatchers only hint at whom to ask
//! again: a dispatcher learns of a new version no sooner than from an engine's next answer.
class StatusCache
{
public:
    //! Whether to ask \a server now; notes that it is being asked.
    auto due(const process::inventory::BackendServer &server,
             const process::reports::ServerLoads &loads, bool watched, base::TimePoint now) -> bool;
    auto store(const std::string &server, absl::StatusOr<EngineStatus> status, base::TimePoint now)
        -> void;
    //! The last status; null when the engine was not reached lately.
    auto find(const std::string &server) const -> const EngineStatus *;
    auto keepOnly(const process::inventory::ServerView &view) -> void;

private:
    struct Entry
    {
        std::optional<EngineStatus> status;
        base::TimePoint asked {};
        bool asking = false;
        std::uint32_t failures = 0;
    };

    std::map<std::string, Entry> m_entries; //!< By server.
};

} // namespace nutmegplank::version::weights
