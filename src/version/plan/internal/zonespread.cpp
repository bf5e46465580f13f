#include "version/plan/zonespread.h"

#include <algorithm>
#include <cmath>

#include "base/hash.h"

namespace nutmegplank::version::plan {

namespace {

constexpr auto ROUNDING = 1e-9;

auto ceilDivide(std::uint32_t amount, std::size_t parts) -> std::uint32_t
{
    const auto divisor = static_cast<std::uint32_t>(parts);
    return (amount + divisor - 1) / divisor;
}

//! Part \a index of \a amount over \a parts; the first ones get the remainder.
auto partOf(std::uint32_t amount, std::size_t parts, std::size_t index) -> std::uint32_t
{
    const auto divisor = static_cast<std::uint32_t>(parts);
    return amount / divisor + (index < amount % divisor ? 1 : 0);
}

} // namespace

auto totalOf(const SpreadRequest &request) -> std::uint32_t
{
    if (request.zones.empty())
        return 0;
    if (!request.zoneRoom || request.allZones < 2)
        return request.servers;
    const auto left = std::min(request.zones.size(), request.allZones - 1);
    const auto wanted =
        ceilDivide(request.servers, left) * static_cast<std::uint32_t>(request.zones.size());
    return std::max(request.servers, std::min(request.mostServers, wanted));
}

auto spread(const SpreadRequest &request) -> std::vector<state::PlanTarget>
{
    const auto total = totalOf(request);
    const auto cheap =
        static_cast<std::uint32_t>(std::floor(total * request.cheapShare + ROUNDING));
    // Services begin at different zones, so that remainders do not all fall on the first.
    const auto zones = std::vector<std::string>(request.zones.begin(), request.zones.end());
    const auto ranking = base::rendezvousRanking(request.service, zones);
    auto targets = std::vector<state::PlanTarget>();
    for (auto index = std::size_t(0); index < ranking.size(); ++index) {
        const auto all = partOf(total, ranking.size(), index);
        const auto cheapPart = partOf(cheap, ranking.size(), index);
        targets.push_back({ request.service, ranking[index], all - cheapPart, cheapPart });
    }
    return targets;
}

} // namespace nutmegplank::version::plan
