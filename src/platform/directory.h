#pragma once

#include <string>
#include <vector>

#include "base/timepoint.h"
#include "connection/http/message.h"

namespace nutmegplank::platform {

//! Most addresses that one answer may name.
constexpr auto MOST_ADDRESSES = std::size_t(64);

//! The directory's answer: where callers connect, and for how long they keep it.
auto writeAddresses(const std::vector<std::string> &addresses, base::Duration keepFor)
    -> connection::http::Response;

//! Whether the request asks the directory.
auto isDirectoryCall(const connection::http::Request &request) -> bool;
//! Whether the platform asks if this machine is ready.
auto isReadinessCall(const connection::http::Request &request) -> bool;

} // namespace nutmegplank::platform
