#include "version/plan/zonespread.h"

#include <algorithm>
#include <cmath>

#include "base/hash.h"

namespace nutmegplank::version::plan {

namespace {

constexpr auto ROUNDING_TOLERANCE = 1e-9;

auto ceilDivide(std::uint32_t amount, std::size_t parts) -> std::uint32_t
{
    const auto divisor = static_cast<std::uint32_t>(parts);
    return (amount + divisor - 1) / divisor;
}

//! Size of part \a index when \a amount is divided into \a parts; the first parts get the
//! remainder.
auto partSize(std::uint32_t amount, std::size_t parts, std::size_t index) -> std::uint32_t
{
    const auto divisor = static_cast<std::uint32_t>(parts);
    return amount / divisor + (index < amount % divisor ? 1 : 0);
}

} // namespace

auto totalServers(const SpreadRequest &request) -> std::uint32_t
{
    if (request.zones.empty())
        return 0;
    if (!request.zoneHeadroom || request.allZones < 2)
        return request.servers;
    const auto remainingZones = std::min(request.zones.size(), request.allZones - 1);
    const auto withHeadroom = ceilDivide(request.servers, remainingZones)
        * static_cast<std::uint32_t>(request.zones.size());
    return std::max(request.servers, std::min(request.mostServers, withHeadroom));
}

auto spreadOverZones(const SpreadRequest &request) -> std::vector<state::PlanTarget>
{
    const auto total = totalServers(request);
    const auto cheap =
        static_cast<std::uint32_t>(std::floor(total * request.cheapShare + ROUNDING_TOLERANCE));
    // The zone order differs by service, so that the remainders of all services do not fall on the
    // same zones.
    const auto zones = std::vector<std::string>(request.zones.begin(), request.zones.end());
    const auto ranking = base::rendezvousRanking(request.service, zones);
    auto targets = std::vector<state::PlanTarget>();
    for (auto index = std::size_t(0); index < ranking.size(); ++index) {
        const auto zoneTotal = partSize(total, ranking.size(), index);
        const auto zoneCheap = partSize(cheap, ranking.size(), index);
        targets.push_back({ request.service, ranking[index], zoneTotal - zoneCheap, zoneCheap });
    }
    return targets;
}

} // namespace nutmegplank::version::plan
