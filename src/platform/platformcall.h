#pragma once

#include <memory>

#include "connection/backend/backendpool.h"
#include "version/leadership/fencedcalls.h"

namespace nutmegplank::platform {

//! Result of one request over a pooled connection.
struct CallResult
{
    absl::StatusOr<connection::http::Response> response;
    bool sent = false; //!< The request may have reached the peer.
};

//! A call that only the lease holder may make.
struct Fence
{
    version::leadership::FencedCalls &calls;
    std::uint64_t number = 0;
};

//! Sends \a request and reads the whole response. \a timeout covers the exchange.
auto sendOverPool(std::shared_ptr<connection::backend::BackendPool> pool,
                  connection::http::Request request, base::Duration timeout)
    -> boost::asio::awaitable<CallResult>;

//! The same for a call that only the lease holder may make. The lease is checked right before the
//! bytes are written; if it is not held, nothing is sent. A connection whose exchange failed is
//! reset, so that no bytes arrive later.
auto sendFenced(std::shared_ptr<connection::backend::BackendPool> pool,
                connection::http::Request request, base::Duration timeout, Fence fence)
    -> boost::asio::awaitable<CallResult>;

} // namespace nutmegplank::platform
