#pragma once

#include <memory>

#include "connection/backend/backendpool.h"

namespace nutmegplank::platform {

//! One short exchange over a pool's connection.
struct CallResult
{
    absl::StatusOr<connection::http::Response> response;
    bool sent = false; //!< Whether the request may have reached the peer.
};

auto callOver(std::shared_ptr<connection::backend::BackendPool> pool,
              connection::http::Request request, base::Duration timeout)
    -> boost::asio::awaitable<CallResult>;

} // namespace nutmegplank::platform
