#pragma once

#include "request/placement/iplacement.h"

namespace nutmegplank::request::placement {

//! Baseline for comparison: the eligible server with the fewest running requests.
class LeastConnections : public IPlacement
{
public:
    auto pick(std::span<const Candidate> servers, const PlacementRequest &request)
        -> std::optional<std::size_t> override
    {
        auto best = std::optional<std::size_t>();
        for (auto index = std::size_t(0); index < servers.size(); ++index) {
            if (!isEligible(servers[index], request))
                continue;
            if (!best || servers[index].running < servers[*best].running)
                best = index;
        }
        return best;
    }
};

} // namespace nutmegplank::request::placement
