#pragma once

#include <string>
#include <vector>

#include "connection/http/message.h"

namespace nutmegplank::request::admission {

//! Keys that a request carried.
struct Credentials
{
    std::vector<std::string>
        keys; //!< Distinct ones, in the order found; not logged, not forwarded.
};

//! Takes all credentials out of \a request: Authorization, X-Api-Key, the query parameter and the
//! cookie api_key. Other headers that repeat a key are removed as well, so that what is left may go
//! to a backend server and into logs.
auto takeCredentials(connection::http::Request &request) -> Credentials;

//! Whether path or body of \a request still hold one of \a credentials' keys; such a request must
//! not be forwarded.
auto repeatsKey(const connection::http::Request &request, const Credentials &credentials) -> bool;

//! Removes the headers that concern only the connection between caller and gateway.
auto removeConnectionHeaders(connection::http::Headers &headers) -> void;

} // namespace nutmegplank::request::admission
