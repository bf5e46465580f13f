#pragma once

#include <absl/status/statusor.h>
#include <boost/json.hpp>

#include "process/servers/servertable.h"
#include "version/journal/ijournal.h"

namespace nutmegplank::platform {

//! Topic in which each backend server registers itself under its id.
constexpr auto SERVER_TOPIC = "keyed.servers";

//! Decodes the registration of a backend server. The error says why the record is unusable.
auto readServerRecord(const version::journal::KeyedRecord &record)
    -> absl::StatusOr<process::servers::ServerRecord>;

//! Weight versions by model, from the "models" list of a server record or an engine report.
auto readModelVersions(const boost::json::object &object) -> std::map<std::string, std::uint64_t>;

} // namespace nutmegplank::platform
