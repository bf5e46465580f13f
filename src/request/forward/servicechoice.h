#pragma once

#include <string>

#include "base/hash.h"
#include "version/routing/routingtable.h"

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

} // namespace nutmegplank::request::forward
