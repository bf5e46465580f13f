#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace nutmegplank::process::requestlimits {

//! A machine that may send requests to a limited server.
struct LimitUser
{
    std::string machine;
    double demand = 0; //!< Requests per second, as last published by the machine.
};

//! The share of a server's limit that \a machine, one of \a users, may use, from 0 to 1. The shares
//! of all users add up to 1 if all of them compute with the same list. Suits a load in which one
//! machine sends nearly all requests to a server while the others send some or none: most of the
//! limit is divided by demand, the rest equally. Since each user may send a first request at any
//! time, small limits are divided among some of the machines only, those with demand first.
auto limitShare(std::uint64_t server, double perSecond, std::vector<LimitUser> users,
                const std::string &machine) -> double;

} // namespace nutmegplank::process::requestlimits
