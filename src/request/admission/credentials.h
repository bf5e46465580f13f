#pragma once

#include <string>
#include <vector>

#include "connection/http/message.h"

namespace nutmegplank::request::admission {

//! API keys found in a request.
struct Credentials
{
    //! Without duplicates, in the order found. Must not be logged or forwarded.
    std::vector<std::string> keys;
};

//! Removes all credentials from \a request and returns its keys: Authorization (Bearer), X-Api-Key,
//! the query parameter and the cookie api_key. Other headers that contain one of the keys are
//! removed as well, so that the remaining headers can be forwarded to a backend server and logged.
auto extractCredentials(connection::http::Request &request) -> Credentials;

//! Whether the target or the body of \a request still contains one of the keys in \a credentials.
//! Such a request must not be forwarded.
auto containsKey(const connection::http::Request &request, const Credentials &credentials) -> bool;

//! Removes hop-by-hop headers, including those that the Connection header names, and other headers
//! that apply to one connection only, such as Host and Content-Length.
auto removeConnectionHeaders(connection::http::Headers &headers) -> void;

} // namespace nutmegplank::request::admission
