#pragma once

#include <string>
#include <vector>

#include "base/timepoint.h"
#include "connection/http/message.h"

namespace nutmegplank::platform {

//! Maximum number of addresses in one response.
constexpr auto MAX_ADDRESSES = std::size_t(64);

//! The directory's response: the addresses to which callers connect, and how long callers may
//! cache them (sent in seconds).
auto writeAddresses(const std::vector<std::string> &addresses, base::Duration keepFor)
    -> connection::http::Response;

//! Whether \a request is a directory lookup.
auto isDirectoryRequest(const connection::http::Request &request) -> bool;
//! Whether \a request is the platform's readiness probe.
auto isReadinessProbe(const connection::http::Request &request) -> bool;

} // namespace nutmegplank::platform
