#pragma once

#include <set>
#include <string>
#include <vector>

#include "version/state/iplatformlog.h"

namespace nutmegplank::version::plan {

//! What is to be spread over zones.
struct SpreadRequest
{
    std::string service;
    std::uint32_t servers = 0;
    std::uint32_t mostServers = 0;
    double cheapShare = 0;
    bool zoneRoom = false;       //!< The number must still stand when one of all zones is gone.
    std::set<std::string> zones; //!< That may get servers.
    std::size_t allZones = 0;    //!< Including those that are out or lost.
};

//! Servers over all zones, with the room for one zone to go.
auto totalOf(const SpreadRequest &request) -> std::uint32_t;

//! As even as can be; cheap servers are spread too and stay under their share.
auto spread(const SpreadRequest &request) -> std::vector<state::PlanTarget>;

} // namespace nutmegplank::version::plan
