#pragma once

#include <string>

#include "base/hash.h"
#include "request/forward/forwardcall.h"

namespace nutmegplank::request::forward {

//! The service of \a route that gets the request \a requestId; the services share the ids in
//! proportion to their weights. A request that takes up a stream goes to the service of the attempt
//! \a streamBegunBy, which is empty for others.
inline auto chooseService(const version::routing::Route &route, const std::string &requestId,
                          const std::string &streamBegunBy) -> const std::string &
{
    constexpr auto BUCKETS = 10000U;
    const auto bucket = base::hash64(streamBegunBy.empty() ? requestId : streamBegunBy) % BUCKETS;
    return version::routing::pickService(route, static_cast<double>(bucket) / BUCKETS);
}

//! The service that gets \a call.
inline auto chooseService(const ForwardCall &call) -> const std::string &
{
    return chooseService(call.route, call.requestId,
                         call.resumesStream ? call.streamBegunBy : std::string());
}

} // namespace nutmegplank::request::forward
