#include "version/orders/zoneorders.h"

#include <algorithm>

namespace nutmegplank::version::orders {

namespace {

using process::inventory::BackendServer;
using process::inventory::ServerState;
using process::inventory::ServerView;

//! The server created by \a order, or nullptr while the inventory does not list it.
auto findCreatedServer(const ServerView &view, const state::OrderState &order)
    -> const BackendServer *
{
    for (const auto &server : view.servers) {
        if (server.orderId == order.orderId || (!order.server.empty() && server.id == order.server))
            return &server;
    }
    return nullptr;
}

//! Ids of the servers of the zone that have a release order, settled or not.
auto releasedServers(const ZoneInput &input) -> std::set<std::string>
{
    auto released = std::set<std::string>();
    const auto addIfRelease = [&](const state::OrderState &order) {
        if (order.zone == input.zone && order.kind == state::OrderKind::Release)
            released.insert(order.server);
    };
    for (const auto &[id, order] : input.orders)
        addIfRelease(order);
    for (const auto &order : input.pendingIntents)
        addIfRelease(order);
    return released;
}

//! The target of the service in the zone: zero servers if the zone is out of service or
//! only other zones have a target; nullopt if no zone has one.
auto targetFor(const ZoneInput &input, const std::string &service)
    -> std::optional<state::PlanTarget>
{
    auto hasTarget = false;
    for (const auto &target : input.targets) {
        if (target.service != service)
            continue;
        hasTarget = true;
        if (target.zone == input.zone && !input.outOfService)
            return target;
    }
    if (!hasTarget && !input.outOfService)
        return std::nullopt;
    return state::PlanTarget { service, input.zone, 0, 0 };
}

//! Release order, lowest first: dead servers, then those with the fewest running requests.
auto releaseRank(const ZoneInput &input, const BackendServer &server) -> std::int64_t
{
    const auto load = input.loads.find(server.id);
    if (load == input.loads.end())
        return 0;
    return load->second.alive ? load->second.running : -1;
}

} // namespace

ZoneOrders::ZoneOrders(OrderTimes times)
    : m_times(times)
{ }

auto ZoneOrders::resetForTakeover() -> void
{
    m_drainingSince.clear();
    m_refusals.clear();
}

auto ZoneOrders::decide(const ZoneInput &input) -> ZoneDecision
{
    trackOrders(input);
    auto decision = ZoneDecision();
    for (const auto &[id, order] : input.orders) {
        if (order.zone == input.zone && !order.settled)
            decision.ordersToSend.push_back(order);
    }
    auto capacityByService = capacities(input);
    for (const auto &target : input.targets)
        capacityByService.try_emplace(target.service);
    m_nextDrainingSince.clear();
    for (const auto &[service, capacity] : capacityByService) {
        const auto target = targetFor(input, service);
        if (!target)
            continue;
        createMissing(input, *target, capacity, decision);
        releaseSurplus(input, *target, capacity, decision);
    }
    m_drainingSince = m_nextDrainingSince;
    return decision;
}

auto ZoneOrders::trackOrders(const ZoneInput &input) -> void
{
    for (const auto &[id, order] : input.orders) {
        if (order.zone != input.zone || order.kind != state::OrderKind::Create)
            continue;
        if (order.settled)
            m_settledAt.try_emplace(id, input.now);
        if (findCreatedServer(*input.servers, order) != nullptr)
            m_listedOrders.insert(id);
    }
    std::erase_if(m_settledAt,
                  [&](const auto &entry) { return !input.orders.contains(entry.first); });
    std::erase_if(m_listedOrders, [&](const auto &id) { return !input.orders.contains(id); });
}

auto ZoneOrders::countUnlistedOrder(const ZoneInput &input, const state::OrderState &order,
                                    Capacities &capacities) const -> void
{
    if (order.zone != input.zone || order.kind != state::OrderKind::Create)
        return;
    if (m_listedOrders.contains(order.orderId))
        return;
    if (order.settled) {
        const auto settledAt = m_settledAt.find(order.orderId);
        const auto listLagExceeded =
            settledAt != m_settledAt.end() && input.now - settledAt->second > m_times.listLag;
        if (order.server.empty() || listLagExceeded)
            return;
    }
    auto &capacity = capacities[order.service];
    ++(order.cheap ? capacity.cheap : capacity.regular);
}

auto ZoneOrders::capacities(const ZoneInput &input) const -> Capacities
{
    auto capacities = Capacities();
    const auto released = releasedServers(input);
    for (const auto &server : input.servers->servers) {
        if (server.zone != input.zone || server.state != ServerState::Live
            || released.contains(server.id))
            continue;
        auto &capacity = capacities[server.service];
        ++(server.cheap ? capacity.cheap : capacity.regular);
        capacity.servers.push_back(&server);
    }
    for (const auto &[id, order] : input.orders)
        countUnlistedOrder(input, order, capacities);
    for (const auto &order : input.pendingIntents)
        countUnlistedOrder(input, order, capacities);
    return capacities;
}

auto ZoneOrders::createMissing(const ZoneInput &input, const state::PlanTarget &target,
                               const Capacity &capacity, ZoneDecision &decision) const -> void
{
    const auto total = target.ordinary + target.cheap;
    const auto current = capacity.regular + capacity.cheap;
    const auto cheapRefused = isRefused(target.service, true, input.now);
    auto cheap = target.cheap > capacity.cheap ? target.cheap - capacity.cheap : 0;
    // While the platform refuses cheap servers, regular ones replace them.
    auto regular = target.ordinary > capacity.regular ? target.ordinary - capacity.regular : 0;
    if (cheapRefused) {
        cheap = 0;
        regular = total > current ? total - current : 0;
    }
    if (isRefused(target.service, false, input.now))
        regular = 0;
    const auto add = [&](std::uint32_t count, bool isCheap) {
        for (auto index = std::uint32_t(0); index < count; ++index)
            decision.intents.push_back({ state::OrderKind::Create, target.service, isCheap, {} });
    };
    add(regular, false);
    add(cheap, true);
}

auto ZoneOrders::releaseSurplus(const ZoneInput &input, const state::PlanTarget &target,
                                const Capacity &capacity, ZoneDecision &decision) -> void
{
    const auto total = target.ordinary + target.cheap;
    const auto current = capacity.regular + capacity.cheap;
    if (current <= total)
        return;
    auto surplus = current - total;
    auto excess = std::map<bool, std::uint32_t> {
        { false, capacity.regular > target.ordinary ? capacity.regular - target.ordinary : 0 },
        { true, capacity.cheap > target.cheap ? capacity.cheap - target.cheap : 0 },
    };
    auto candidates = capacity.servers;
    std::sort(candidates.begin(), candidates.end(), [&](const auto *left, const auto *right) {
        // Servers that are already draining come first, so that the choice stays stable between
        // decisions.
        const auto key = [&](const BackendServer &server) {
            return std::tuple(!m_drainingSince.contains(server.id), releaseRank(input, server),
                              server.id);
        };
        return key(*left) < key(*right);
    });
    for (const auto *server : candidates) {
        if (surplus == 0)
            return;
        if (excess[server->cheap] == 0)
            continue;
        --excess[server->cheap];
        --surplus;
        drainServer(input, *server, decision);
    }
}

auto ZoneOrders::drainServer(const ZoneInput &input, const BackendServer &server,
                             ZoneDecision &decision) -> void
{
    const auto known = m_drainingSince.find(server.id);
    const auto since = known == m_drainingSince.end() ? input.now : known->second;
    m_nextDrainingSince[server.id] = since;
    decision.serversToHold.push_back(server.id);
    const auto load = input.loads.find(server.id);
    const auto idle = load != input.loads.end()
        && load->second.heard >= since + m_times.holdReportDelay
        && (load->second.running == 0 || !load->second.alive);
    if (idle || input.now - since >= m_times.drainTimeout)
        decision.intents.push_back(
            { state::OrderKind::Release, server.service, server.cheap, server.id });
}

auto ZoneOrders::isRefused(const std::string &service, bool cheap, base::TimePoint now) const
    -> bool
{
    const auto refusal = m_refusals.find({ service, cheap });
    return refusal != m_refusals.end() && now < refusal->second.until;
}

auto ZoneOrders::onCreateRefused(const std::string &service, bool cheap, base::TimePoint now)
    -> void
{
    auto &refusal = m_refusals[{ service, cheap }];
    const auto nextPause =
        std::max(m_times.refusalBackoffInitial, base::Duration(2 * refusal.pause));
    refusal.pause = std::min(nextPause, m_times.refusalBackoffMax);
    refusal.until = now + refusal.pause;
}

auto ZoneOrders::onCreateDone(const std::string &service, bool cheap) -> void
{
    m_refusals.erase({ service, cheap });
}

} // namespace nutmegplank::version::orders
