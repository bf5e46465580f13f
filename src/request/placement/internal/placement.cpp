#include "request/placement/internal/awareplacement.h"
#include "request/placement/internal/leastconnections.h"
#include "request/placement/internal/roundrobin.h"

namespace nutmegplank::request::placement {

auto isEligible(const Candidate &server, const PlacementRequest &request) -> bool
{
    const auto &avoided = request.avoidServers;
    if (!server.alive || server.leaving || server.zoneOut || server.held || server.isolated)
        return false;
    if (server.weightVersion < request.minWeightVersion)
        return false;
    if (request.isolate && server.running > 0)
        return false;
    if (server.running >= server.limit)
        return false;
    return std::find(avoided.begin(), avoided.end(), server.id) == avoided.end();
}

auto makePlacement(PlacementPolicy policy, PrefixProbability prefixProbability)
    -> std::unique_ptr<IPlacement>
{
    switch (policy) {
    case PlacementPolicy::RoundRobin:
        return std::make_unique<RoundRobin>();
    case PlacementPolicy::LeastConnections:
        return std::make_unique<LeastConnections>();
    case PlacementPolicy::Aware:
        break;
    }
    return std::make_unique<AwarePlacement>(std::move(prefixProbability));
}

} // namespace nutmegplank::request::placement
