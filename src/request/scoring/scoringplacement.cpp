#include "request/scoring/scoringplacement.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace nutmegplank::request::scoring {

namespace {

//! One in this many slots of a server stays free for callers' requests.
constexpr auto RESERVED_SLOT_DIVISOR = 3U;
//! Assumed until a server has answered a call.
constexpr auto DEFAULT_LATENCY = base::Duration(std::chrono::milliseconds(50));
//! The server that failed a call is chosen again only if the others are this much slower.
constexpr auto AVOIDED_SERVER_FACTOR = 8.0;

auto maxRunning(const ScoringServer &server) -> std::uint32_t
{
    const auto reserved = (server.slots + RESERVED_SLOT_DIVISOR - 1) / RESERVED_SLOT_DIVISOR;
    return server.slots > reserved ? server.slots - reserved : 1;
}

auto mayTake(const ScoringServer &server, const WaitingCall &call) -> bool
{
    if (server.service != call.service || server.startsLeft == 0
        || server.running >= maxRunning(server))
        return false;
    return std::ranges::none_of(server.refusedSizes, [&](const auto &refused) {
        return process::health::isAsLargeAs(call.size, refused);
    });
}

auto placementCost(const WaitingCall &call, const ScoringServer &server) -> double
{
    const auto latency = server.latency.count() > 0 ? server.latency : DEFAULT_LATENCY;
    const auto cost = base::toSeconds(latency) * (server.running + 1);
    return server.id == call.avoidedServer ? cost * AVOIDED_SERVER_FACTOR : cost;
}

} // namespace

auto placeCalls(std::vector<WaitingCall> waiting, std::vector<ScoringServer> &servers)
    -> std::vector<CallAssignment>
{
    std::ranges::stable_sort(waiting, {}, [](const WaitingCall &call) {
        return std::tuple(call.dueAt, call.unfinishedInGroup);
    });
    auto assignments = std::vector<CallAssignment>();
    for (const auto &call : waiting) {
        auto best = servers.size();
        auto bestCost = std::numeric_limits<double>::max();
        for (auto index = std::size_t(0); index < servers.size(); ++index) {
            const auto &server = servers[index];
            if (!mayTake(server, call))
                continue;
            const auto cost = placementCost(call, server);
            if (cost >= bestCost)
                continue;
            best = index;
            bestCost = cost;
        }
        if (best == servers.size())
            continue;
        ++servers[best].running;
        --servers[best].startsLeft;
        assignments.push_back({ call.handle, best });
    }
    return assignments;
}

} // namespace nutmegplank::request::scoring
