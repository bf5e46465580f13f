#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include <absl/status/statusor.h>
#include <boost/asio/any_io_executor.hpp>

#include "connection/link/ilink.h"

//! ILink over nng: one pull socket a process, one push socket a peer.
namespace nutmegplank::connection::link {

//! Identity that goes into each envelope, and where to listen.
struct NngLinkOptions
{
    std::string memberId;
    std::uint64_t incarnation;
    std::string address;    //!< IP number to listen on.
    std::uint16_t port;     //!< 0 picks a free one.
    std::string advertised; //!< "address:port" told to peers; empty means the listening one.
};

//! Opens the pull socket; handlers run on \a executor.
auto makeNngLink(boost::asio::any_io_executor executor, NngLinkOptions options)
    -> absl::StatusOr<std::unique_ptr<ILink>>;

} // namespace nutmegplank::connection::link
