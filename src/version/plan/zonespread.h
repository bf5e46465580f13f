#pragma once

#include <set>
#include <string>
#include <vector>

#include "version/state/iplatformlog.h"

namespace nutmegplank::version::plan {

//! Servers of one service to distribute over zones.
struct SpreadRequest
{
    std::string service;
    std::uint32_t servers = 0;     //!< Required number, without zone headroom.
    std::uint32_t mostServers = 0; //!< Limit for the number with zone headroom.
    double cheapShare = 0;         //!< Largest fraction of cheap servers, 0 to 1.
    //! Plan extra servers so that the required number remains when one zone fails.
    bool zoneHeadroom = false;
    std::set<std::string> zones; //!< Zones that may get servers.
    std::size_t allZones = 0;    //!< Number of zones, including those out of service or lost.
};

//! Total number of servers over all zones, including zone headroom.
auto totalServers(const SpreadRequest &request) -> std::uint32_t;

//! Distributes the total as evenly as possible. Cheap servers are distributed evenly too and do not
//! exceed their share of the total.
auto spreadOverZones(const SpreadRequest &request) -> std::vector<state::PlanTarget>;

} // namespace nutmegplank::version::plan
