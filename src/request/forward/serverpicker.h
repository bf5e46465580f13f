#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/timepoint.h"

namespace nutmegplank::request::forward {

//! A backend server as the choice for one request sees it.
struct ServerCandidate
{
    std::string id;
    std::uint32_t outstanding = 0; //!< Of this process.
    std::uint32_t limit = 1;       //!< Most outstanding of this process.
    std::uint32_t startsLeft = 0;  //!< That it may get now.
    base::Duration latency { 0 };  //!< Smoothed; 0 when not known.
    bool sameZone = false;
    bool preferred = false; //!< This process keeps its connections to it.
    bool tried = false;     //!< By an earlier attempt of the same request.
};

//! Answers the pattern of a few short requests a second from many machines to few servers: each
//! machine stays with one server, so that connections are few and warm, and leaves it when it is
//! slow, busy or gone. Nothing when no server may get the request.
auto pickServer(const std::vector<ServerCandidate> &candidates) -> std::optional<std::size_t>;

} // namespace nutmegplank::request::forward
