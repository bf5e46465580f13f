#pragma once

#include <absl/status/statusor.h>
#include <boost/json.hpp>

#include "process/servers/servertable.h"
#include "version/journal/ijournal.h"

namespace nutmegplank::platform {

//! The topic in which backend servers register themselves, each under its id.
constexpr auto SERVER_TOPIC = "keyed.servers";

//! The word of a backend server. The error says why the record names no server to use.
auto readServerRecord(const version::journal::KeyedRecord &record)
    -> absl::StatusOr<process::servers::ServerRecord>;

//! Weight versions by model from a "models" list, as records and reports carry it.
auto readModelVersions(const boost::json::object &object) -> std::map<std::string, std::uint64_t>;

} // namespace nutmegplank::platform
