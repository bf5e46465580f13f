#pragma once

#include <set>
#include <string>

#include "process/inventory/iinventory.h"
#include "process/reports/loadreports.h"

namespace nutmegplank::version::plan {

//! Zones whose live servers in the inventory are all reported dead. Servers without a load report
//! do not count, and at least two must be dead, because a single server may fail by itself.
auto lostZones(const process::inventory::ServerView &servers,
               const process::reports::ServerLoads &loads) -> std::set<std::string>;

} // namespace nutmegplank::version::plan
