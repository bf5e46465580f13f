#include "version/plan/planner.h"

#include <algorithm>
#include <cmath>

#include "version/plan/zonespread.h"

namespace nutmegplank::version::plan {

namespace {

constexpr auto SLOW_FACTOR = 4; //!< Steps are this much rarer while servers are still to come.

auto liveServers(const process::inventory::ServerView &view, const std::string &service)
    -> std::uint32_t
{
    return static_cast<std::uint32_t>(
        std::count_if(view.servers.begin(), view.servers.end(),
                      [&](const process::inventory::BackendServer &server) {
                          return server.service == service
                              && server.state == process::inventory::ServerState::Live;
                      }));
}

auto plannedServers(const state::PlanState &plan, const std::string &service,
                    const std::set<std::string> &zones) -> std::uint32_t
{
    auto sum = std::uint32_t(0);
    for (const auto &target : plan.targets) {
        if (target.service == service && zones.contains(target.zone))
            sum += target.dear + target.cheap;
    }
    return sum;
}

//! The size that explains the plan in the log, so that a new holder changes nothing by itself.
auto sizeFromPlan(SpreadRequest request, const state::PlanState &plan) -> std::uint32_t
{
    const auto planned = plannedServers(plan, request.service, request.zones);
    const auto lowest = request.servers;
    for (auto size = request.mostServers; size > lowest; --size) {
        request.servers = size;
        if (totalOf(request) <= planned)
            return size;
    }
    return lowest;
}

auto keepLostZones(const PlanInput &input, const std::string &service,
                   std::vector<state::PlanTarget> &targets) -> void
{
    for (const auto &target : input.last.targets) {
        const auto lost =
            input.lostZones.contains(target.zone) && !input.configuration->isZoneOut(target.zone);
        if (lost && target.service == service)
            targets.push_back(target);
    }
}

auto roomFor(ZoneRoom room, configuration::ServiceKind kind) -> bool
{
    if (room == ZoneRoom::Plain)
        return kind == configuration::ServiceKind::Plain;
    return room == ZoneRoom::All;
}

auto makeRequest(const PlanInput &input, const configuration::ServiceTarget &target,
                 const PlanPolicy &policy) -> SpreadRequest
{
    const auto service = input.configuration->services.find(target.service);
    const auto kind = service == input.configuration->services.end()
        ? configuration::ServiceKind::Plain
        : service->second.kind;
    auto request = SpreadRequest();
    request.service = target.service;
    request.servers = target.servers;
    request.mostServers = std::max(target.servers, target.mostServers);
    request.cheapShare = kind == configuration::ServiceKind::Engine ? target.cheapShare : 0;
    request.zoneRoom = roomFor(policy.zoneRoom, kind);
    const auto zones = knownZones(*input.configuration, *input.servers);
    request.allZones = zones.size();
    for (const auto &zone : zones) {
        if (!input.configuration->isZoneOut(zone) && !input.lostZones.contains(zone))
            request.zones.insert(zone);
    }
    return request;
}

auto sorted(std::vector<state::PlanTarget> targets) -> std::vector<state::PlanTarget>
{
    std::sort(targets.begin(), targets.end(), [](const auto &left, const auto &right) {
        return std::tie(left.service, left.zone) < std::tie(right.service, right.zone);
    });
    return targets;
}

} // namespace

auto knownZones(const configuration::Configuration &configuration,
                const process::inventory::ServerView &servers) -> std::set<std::string>
{
    auto zones = std::set<std::string>();
    for (const auto &[name, zone] : configuration.zones)
        zones.insert(name);
    for (const auto &server : servers.servers)
        zones.insert(server.zone);
    return zones;
}

Planner::Planner(PlanPolicy policy)
    : m_policy(policy)
{ }

auto Planner::plan(const PlanInput &input) -> std::optional<std::vector<state::PlanTarget>>
{
    const auto *preset = input.configuration->preset();
    if (preset == nullptr)
        return std::nullopt;
    auto targets = std::vector<state::PlanTarget>();
    for (const auto &target : preset->targets) {
        auto request = makeRequest(input, target, m_policy);
        request.servers = sizeOf(input, target, sizeFromPlan(request, input.last));
        const auto part = spread(request);
        targets.insert(targets.end(), part.begin(), part.end());
        keepLostZones(input, target.service, targets);
    }
    return sorted(std::move(targets));
}

auto Planner::sizeOf(const PlanInput &input, const configuration::ServiceTarget &target,
                     std::uint32_t first) -> std::uint32_t
{
    if (m_policy.spending == Spending::Static)
        return target.servers;
    auto &size = m_sizes.try_emplace(target.service, Size { first }).first->second;
    size.servers =
        std::clamp(size.servers, target.servers, std::max(target.servers, target.mostServers));
    adapt(input, target, size);
    return size.servers;
}

auto Planner::adapt(const PlanInput &input, const configuration::ServiceTarget &target,
                    Size &size) const -> void
{
    const auto found = input.loads.find(target.service);
    if (found == input.loads.end()) {
        size.pressedSince.reset();
        size.calmSince.reset();
        return;
    }
    const auto &load = found->second;
    const auto live = liveServers(*input.servers, target.service);
    const auto waiting = std::max(load.queued, load.waiting);
    const auto pressed = waiting > m_policy.growQueue * std::max(1U, live)
        || (waiting > 0 && load.waitMs > m_policy.growWaitMs);
    const auto calm = waiting == 0 && load.running < m_policy.calmShare * load.capacity;
    const auto note = [&](bool holds, std::optional<base::TimePoint> &since) {
        if (!holds)
            since.reset();
        else if (!since)
            since = input.now;
    };
    note(pressed, size.pressedSince);
    note(calm, size.calmSince);
    const auto due = [&](const std::optional<base::TimePoint> &since, base::Duration after,
                         base::Duration every) {
        return since && input.now - *since >= after
            && (!size.changed || input.now - *size.changed >= every);
    };
    const auto growEvery =
        live < size.servers ? SLOW_FACTOR * m_policy.growEvery : m_policy.growEvery;
    const auto most = std::max(target.servers, target.mostServers);
    if (size.servers < most && due(size.pressedSince, m_policy.growAfter, growEvery)) {
        const auto step = std::max(1.0, std::floor(size.servers * m_policy.growStep));
        size.servers = std::min(most, size.servers + static_cast<std::uint32_t>(step));
        size.changed = input.now;
    } else if (size.servers > target.servers
               && due(size.calmSince, m_policy.releaseAfter, m_policy.releaseEvery)) {
        --size.servers;
        size.changed = input.now;
    }
}

} // namespace nutmegplank::version::plan
