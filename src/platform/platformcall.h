#pragma once

#include <memory>

#include "connection/backend/backendpool.h"

namespace nutmegplank::platform {

//! Result of one request over a pooled connection.
struct CallResult
{
    absl::StatusOr<connection::http::Response> response;
    bool sent = false; //!< The request may have reached the peer.
};

//! Sends \a request and reads the whole response. \a timeout covers the exchange.
auto sendOverPool(std::shared_ptr<connection::backend::BackendPool> pool,
                  connection::http::Request request, base::Duration timeout)
    -> boost::asio::awaitable<CallResult>;

} // namespace nutmegplank::platform
