#pragma once

#include <string>
#include <vector>

#include "connection/link/ilink.h"
#include "process/membership/imembership.h"

namespace nutmegplank::version::command {

//! Asks all live dispatchers to give \a servers no new work for \a time; soft, so it is repeated
//! for as long as it matters.
auto holdServers(connection::link::ILink &link, const process::membership::IMembership &membership,
                 const std::vector<std::string> &servers, base::Duration time) -> void;

} // namespace nutmegplank::version::command
