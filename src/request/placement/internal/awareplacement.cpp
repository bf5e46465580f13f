#include "request/placement/internal/awareplacement.h"

namespace nutmegplank::request::placement {

namespace {

//! A prefix counts while the load of its server is at most this much above the lowest load.
constexpr auto PREFIX_LOAD_GUARD = 0.3;
//! What a surely cached prefix is worth, in load.
constexpr auto PREFIX_WORTH = 0.4;
//! What a server that is not cheap costs a request that can be repeated, in load.
constexpr auto DEAR_COST = 0.25;
//! What a server that may vanish costs a request that cannot be repeated: more than any load.
constexpr auto RISK_COST = 2.0;

auto loadOf(const Candidate &server) -> double
{
    return static_cast<double>(server.running) / std::max<std::uint32_t>(1, server.limit);
}

} // namespace

auto AwarePlacement::score(const Candidate &server, const PlacementRequest &request,
                           double lowestLoad) const -> double
{
    const auto load = loadOf(server);
    auto score = load;
    if (request.idempotent && !server.cheap)
        score += DEAR_COST;
    if (!request.idempotent && server.cheap)
        score += RISK_COST;
    const auto mayAttract = !request.prefixKey.empty() && load <= lowestLoad + PREFIX_LOAD_GUARD;
    if (mayAttract && m_prefixChance)
        score -= PREFIX_WORTH * m_prefixChance(server.id, request.prefixKey);
    return score;
}

auto AwarePlacement::pick(std::span<const Candidate> servers, const PlacementRequest &request)
    -> std::optional<std::size_t>
{
    auto lowestLoad = 1.0;
    for (const auto &server : servers) {
        if (isEligible(server, request))
            lowestLoad = std::min(lowestLoad, loadOf(server));
    }
    auto best = std::optional<std::size_t>();
    auto bestScore = 0.0;
    for (auto index = std::size_t(0); index < servers.size(); ++index) {
        if (!isEligible(servers[index], request))
            continue;
        const auto own = score(servers[index], request, lowestLoad);
        if (best && own >= bestScore)
            continue;
        best = index;
        bestScore = own;
    }
    return best;
}

} // namespace nutmegplank::request::placement
