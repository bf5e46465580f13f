#pragma once

#include "connection/http/message.h"

namespace nutmegplank::standins {

//! Whether a request carries anything that may be a caller's key.
inline auto carriesKey(const connection::http::Request &request) -> bool
{
    for (const auto *name : { "Authorization", "X-Api-Key", "Cookie", "Proxy-Authorization" }) {
        if (!connection::http::headerValue(request.headers, name).empty())
            return true;
    }
    return request.target.find("api_key") != std::string::npos;
}

} // namespace nutmegplank::standins
