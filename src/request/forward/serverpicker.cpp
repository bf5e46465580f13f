#include "request/forward/serverpicker.h"

#include <limits>

namespace nutmegplank::request::forward {

namespace {

//! Assumed until the server has answered a request.
constexpr auto DEFAULT_LATENCY_MS = 25.0;
//! Cost of a server other than the preferred one: opening a new connection takes about this long.
constexpr auto NEW_CONNECTION_MS = 30.0;
constexpr auto OTHER_ZONE_MS = 3.0;

} // namespace

auto expectedCost(const ServerCandidate &candidate) -> double
{
    const auto latency = candidate.latency.count() > 0
        ? static_cast<double>(candidate.latency.count()) / 1000.0
        : DEFAULT_LATENCY_MS;
    auto cost = latency * (1.0 + candidate.outstanding);
    if (!candidate.preferred)
        cost += NEW_CONNECTION_MS;
    if (!candidate.sameZone)
        cost += OTHER_ZONE_MS;
    return cost;
}

auto mayGetRequest(const ServerCandidate &candidate) -> bool
{
    return !candidate.tried && candidate.startsLeft > 0 && candidate.outstanding < candidate.limit;
}

auto pickServer(const std::vector<ServerCandidate> &candidates) -> std::optional<std::size_t>
{
    auto best = std::optional<std::size_t>();
    auto bestCost = std::numeric_limits<double>::max();
    for (auto index = std::size_t(0); index < candidates.size(); ++index) {
        const auto &candidate = candidates[index];
        if (!mayGetRequest(candidate))
            continue;
        const auto cost = expectedCost(candidate);
        if (cost >= bestCost)
            continue;
        best = index;
        bestCost = cost;
    }
    return best;
}

} // namespace nutmegplank::request::forward
