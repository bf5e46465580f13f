#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/timepoint.h"

namespace nutmegplank::request::forward {

//! What the choice of a server for one request depends on.
struct ServerCandidate
{
    std::string id;
    std::uint32_t outstanding = 0; //!< Requests this process has running there.
    std::uint32_t limit = 1;       //!< Upper bound of outstanding.
    std::uint32_t startsLeft = 0;  //!< Requests it may be sent now, given its warm-up.
    base::Duration latency { 0 };  //!< Smoothed; 0 when unknown.
    bool sameZone = false;
    bool preferred = false; //!< This process keeps open connections to it.
    bool tried = false;     //!< Must not be picked again for this request.
};

auto mayGetRequest(const ServerCandidate &candidate) -> bool;

//! Milliseconds until the server's answer, with its part for a new connection.
auto expectedCost(const ServerCandidate &candidate) -> double;

//! Index of the server with the lowest expected cost, or nothing when no server may get the
//! request. Suits a load in which many machines each send a few short requests per second to few
//! servers: a machine normally uses one preferred server, so that few connections are needed and
//! they stay open, and uses another when that one is slow, busy or unavailable.
auto pickServer(const std::vector<ServerCandidate> &candidates) -> std::optional<std::size_t>;

} // namespace nutmegplank::request::forward
