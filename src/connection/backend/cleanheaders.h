#pragma once

#include "connection/http/message.h"

namespace nutmegplank::connection::backend {

//! The headers that may go to a backend server: without anything that could hold a caller's key and
//! without those that belong to one connection only.
auto cleanHeaders(http::Headers headers) -> http::Headers;

//! The target without a key in its query.
auto cleanTarget(const std::string &target) -> std::string;

} // namespace nutmegplank::connection::backend
