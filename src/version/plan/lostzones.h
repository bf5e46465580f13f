#pragma once

#include <set>
#include <string>

#include "process/inventory/iinventory.h"
#include "process/reports/loadreports.h"

namespace nutmegplank::version::plan {

//! Zones in which the list shows live servers, but every one that is reported on is dead; at least
//! two must be, for one server may fall over by itself.
auto lostZones(const process::inventory::ServerView &servers,
               const process::reports::ServerLoads &loads) -> std::set<std::string>;

} // namespace nutmegplank::version::plan
