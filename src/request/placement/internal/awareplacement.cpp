#include "request/placement/internal/awareplacement.h"

namespace nutmegplank::request::placement {

namespace {

//! A cached prefix is considered while the load of its server is at most this much above the
//! lowest.
constexpr auto MAX_PREFIX_LOAD_EXCESS = 0.3;
//! Subtracted from the score for a prefix that is certainly cached, in units of load.
constexpr auto PREFIX_DISCOUNT = 0.4;
//! Added for a retryable request on a server that isn't cheap, in units of load.
constexpr auto EXPENSIVE_SERVER_COST = 0.25;
//! Added on a cheap server, which may disappear at any time, for a request that must not be
//! retried; higher than any load.
constexpr auto CHEAP_SERVER_COST = 2.0;

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
        score += EXPENSIVE_SERVER_COST;
    if (!request.idempotent && server.cheap)
        score += CHEAP_SERVER_COST;
    const auto considersPrefix =
        !request.prefixKey.empty() && load <= lowestLoad + MAX_PREFIX_LOAD_EXCESS;
    if (considersPrefix && m_prefixProbability)
        score -= PREFIX_DISCOUNT * m_prefixProbability(server.id, request.prefixKey);
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
        const auto serverScore = score(servers[index], request, lowestLoad);
        if (best && serverScore >= bestScore)
            continue;
        best = index;
        bestScore = serverScore;
    }
    return best;
}

} // namespace nutmegplank::request::placement
