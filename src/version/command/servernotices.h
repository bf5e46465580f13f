#pragma once

#include <string>
#include <vector>

#include "connection/link/ilink.h"
#include "process/membership/imembership.h"

namespace nutmegplank::version::command {

//! Asks all live dispatchers to send no new work to \a servers for \a time. Notices may be lost, so
//! the caller repeats this as long as it applies.
auto holdServers(connection::link::ILink &link, const process::membership::IMembership &membership,
                 const std::vector<std::string> &servers, base::Duration time) -> void;

} // namespace nutmegplank::version::command
