#pragma once

#include <memory>
#include <string>
#include <vector>

#include <absl/status/statusor.h>
#include <boost/asio/io_context.hpp>

#include "process/membership/imembership.h"

namespace nutmegplank::process::membership {

//! Who this process is and whom it asks first.
struct MembershipOptions
{
    Member self;                    //!< gossipAddress names the UDP address to bind.
    std::vector<std::string> seeds; //!< Gossip addresses.
    base::Duration period = std::chrono::milliseconds(250); //!< Between two probes of this process.
};

//! SWIM-like membership over UDP (Das, Gupta, Motivala 2002): the cost a process does not grow with
//! the size.
auto makeGossipMembership(boost::asio::io_context &context, MembershipOptions options)
    -> absl::StatusOr<std::unique_ptr<IMembership>>;

} // namespace nutmegplank::process::membership
