#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "request/forward/serverpicker.h"

namespace nutmegplank::request::forward {

//! Whether \a slots slots of all servers of a service are so few before \a machineCount machines
//! that machines overrun servers by choosing at the same moment.
auto needsEvenLoad(std::uint64_t slots, std::size_t machineCount) -> bool;

//! The server at which \a machine, one of \a machines, sends its requests as long as it isn't slow.
//! Each server is the home of equally many machines, if all compute with the same lists; a machine
//! whose list is old differs for a few machines only.
auto homeServer(const std::string &machine, std::vector<std::string> machines,
                const std::vector<std::string> &servers) -> std::string;

//! Index of the server that gets the next request, or nothing when none may get it: the better one
//! of two, of which the first is the preferred server, the home of this machine, and the second is
//! drawn. Suits a load in which many machines know of few servers only what their own answers told:
//! a server that turns slow is left by a part of its machines for servers drawn by chance, not by
//! all of them for the same one. \a draw is a random number.
auto pickServerEvenly(const std::vector<ServerCandidate> &candidates, std::uint64_t draw)
    -> std::optional<std::size_t>;

} // namespace nutmegplank::request::forward
