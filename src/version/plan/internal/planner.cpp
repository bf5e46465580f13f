#include "version/plan/planner.h"

#include <algorithm>
#include <cmath>

#include "version/plan/zonespread.h"

namespace nutmegplank::version::plan {

namespace {

//! Multiplies the interval between growth steps while planned servers are not live yet.
constexpr auto PENDING_SERVERS_INTERVAL_FACTOR = 4;

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
    auto plannedSum = std::uint32_t(0);
    for (const auto &target : plan.targets) {
        if (target.service == service && zones.contains(target.zone))
            plannedSum += target.ordinary + target.cheap;
    }
    return plannedSum;
}

//! The largest size whose total fits the plan in the log, but at least the preset's. With it, a
//! takeover by a new lease holder does not by itself change the plan.
auto sizeFromPlan(SpreadRequest request, const state::PlanState &plan) -> std::uint32_t
{
    const auto planned = plannedServers(plan, request.service, request.zones);
    const auto minServers = request.servers;
    for (auto size = request.mostServers; size > minServers; --size) {
        request.servers = size;
        if (totalServers(request) <= planned)
            return size;
    }
    return minServers;
}

//! Adds the logged targets of lost zones that are not out of service.
auto keepLostZones(const PlanInput &input, const std::string &service,
                   std::vector<state::PlanTarget> &targets) -> void
{
    for (const auto &target : input.loggedPlan.targets) {
        const auto lost =
            input.lostZones.contains(target.zone) && !input.configuration->isZoneOut(target.zone);
        if (lost && target.service == service)
            targets.push_back(target);
    }
}

auto needsHeadroom(ZoneHeadroom room, configuration::ServiceKind kind) -> bool
{
    if (room == ZoneHeadroom::Plain)
        return kind == configuration::ServiceKind::Plain;
    return room == ZoneHeadroom::All;
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
    request.zoneHeadroom = needsHeadroom(policy.zoneHeadroom, kind);
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
        request.servers = updateSize(input, target, sizeFromPlan(request, input.loggedPlan));
        const auto serviceTargets = spreadOverZones(request);
        targets.insert(targets.end(), serviceTargets.begin(), serviceTargets.end());
        keepLostZones(input, target.service, targets);
    }
    return sorted(std::move(targets));
}

auto Planner::updateSize(const PlanInput &input, const configuration::ServiceTarget &target,
                         std::uint32_t initialServers) -> std::uint32_t
{
    if (m_policy.scalingMode == ScalingMode::Static)
        return target.servers;
    auto &size = m_sizes.try_emplace(target.service, ServiceSize { initialServers }).first->second;
    size.servers =
        std::clamp(size.servers, target.servers, std::max(target.servers, target.mostServers));
    adaptToLoad(input, target, size);
    return size.servers;
}

auto Planner::adaptToLoad(const PlanInput &input, const configuration::ServiceTarget &target,
                          ServiceSize &size) const -> void
{
    const auto found = input.loads.find(target.service);
    if (found == input.loads.end()) {
        size.overloadedSince.reset();
        size.underusedSince.reset();
        return;
    }
    const auto &load = found->second;
    const auto live = liveServers(*input.servers, target.service);
    const auto waiting = std::max(load.queued, load.waiting);
    const auto overloaded = waiting > m_policy.growQueuePerServer * std::max(1U, live)
        || (waiting > 0 && load.waitMs > m_policy.growWaitMs);
    const auto underused =
        waiting == 0 && load.running < m_policy.shrinkUtilization * load.capacity;
    const auto updateSince = [&](bool condition, std::optional<base::TimePoint> &since) {
        if (!condition)
            since.reset();
        else if (!since)
            since = input.now;
    };
    updateSince(overloaded, size.overloadedSince);
    updateSince(underused, size.underusedSince);
    const auto due = [&](const std::optional<base::TimePoint> &since, base::Duration delay,
                         base::Duration interval) {
        return since && input.now - *since >= delay
            && (!size.lastChange || input.now - *size.lastChange >= interval);
    };
    const auto growInterval = live < size.servers
        ? PENDING_SERVERS_INTERVAL_FACTOR * m_policy.growInterval
        : m_policy.growInterval;
    const auto maxServers = std::max(target.servers, target.mostServers);
    if (size.servers < maxServers && due(size.overloadedSince, m_policy.growDelay, growInterval)) {
        const auto step = std::max(1.0, std::floor(size.servers * m_policy.growFraction));
        size.servers = std::min(maxServers, size.servers + static_cast<std::uint32_t>(step));
        size.lastChange = input.now;
    } else if (size.servers > target.servers
               && due(size.underusedSince, m_policy.shrinkDelay, m_policy.shrinkInterval)) {
        --size.servers;
        size.lastChange = input.now;
    }
}

} // namespace nutmegplank::version::plan
