#pragma once

#include <string>
#include <vector>

#include "base/finding.h"
#include "version/routing/routingtable.h"

//! Checks of a routing table before it is published.
namespace nutmegplank::version::routing {

//! Entries that can never match, and limits that contradict each other.
auto checkTable(const RoutingTable &table) -> std::vector<base::Finding>;

//! One line for each route, service, workspace and limit of \a next that differs from \a inForce.
auto tableDifferences(const RoutingTable &inForce, const RoutingTable &next)
    -> std::vector<std::string>;

} // namespace nutmegplank::version::routing
