#pragma once

#include "connection/backend/backendpools.h"

namespace nutmegplank::app::node {

//! Limits of the connections to backend servers.
inline auto serverPoolOptions() -> connection::backend::BackendPoolOptions
{
    constexpr auto CONNECT_TIME = std::chrono::milliseconds(400);
    constexpr auto USER_TIMEOUT = std::chrono::milliseconds(3000);
    constexpr auto IDLE_CONNECTION = std::chrono::seconds(8);
    constexpr auto MOST_IDLE = std::size_t(32);
    //! Twenty servers that answer without end must fit into the smallest VM's memory, 160 MB.
    constexpr auto MAX_ANSWER_BYTES = std::uint64_t(4 * 1024 * 1024);
    auto options = connection::backend::BackendPoolOptions();
    options.connect.timeout = CONNECT_TIME;
    options.connect.userTimeout = USER_TIMEOUT;
    options.connect.bodyBytes = MAX_ANSWER_BYTES;
    options.idleTime = IDLE_CONNECTION;
    options.mostIdle = MOST_IDLE;
    return options;
}

} // namespace nutmegplank::app::node
