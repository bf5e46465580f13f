#include "version/orders/zoneorders.h"

#include <algorithm>

namespace nutmegplank::version::orders {

namespace {

using process::inventory::BackendServer;
using process::inventory::ServerState;
using process::inventory::ServerView;

//! The listed server that \a order made, if the list shows it already.
auto serverOf(const ServerView &view, const state::OrderState &order) -> const BackendServer *
{
    for (const auto &server : view.servers) {
        if (server.orderId == order.orderId || (!order.server.empty() && server.id == order.server))
            return &server;
    }
    return nullptr;
}

//! Servers of the zone that a release order names, settled or not.
auto releasedServers(const ZoneInput &input) -> std::set<std::string>
{
    auto released = std::set<std::string>();
    const auto note = [&](const state::OrderState &order) {
        if (order.zone == input.zone && order.kind == state::OrderKind::Release)
            released.insert(order.server);
    };
    for (const auto &[id, order] : input.orders)
        note(order);
    for (const auto &order : input.writing)
        note(order);
    return released;
}

auto targetOf(const ZoneInput &input, const std::string &service)
    -> std::optional<state::PlanTarget>
{
    auto managed = false;
    for (const auto &target : input.targets) {
        if (target.service != service)
            continue;
        managed = true;
        if (target.zone == input.zone && !input.out)
            return target;
    }
    if (!managed && !input.out)
        return std::nullopt;
    return state::PlanTarget { service, input.zone, 0, 0 };
}

//! Which server goes first: dead ones, then those with least to do.
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

auto ZoneOrders::decide(const ZoneInput &input) -> ZoneDecision
{
    note(input);
    auto decision = ZoneDecision();
    for (const auto &[id, order] : input.orders) {
        if (order.zone == input.zone && !order.settled)
            decision.send.push_back(order);
    }
    auto found = capacities(input);
    for (const auto &target : input.targets)
        found.try_emplace(target.service);
    m_drainAsked.clear();
    for (const auto &[service, capacity] : found) {
        const auto target = targetOf(input, service);
        if (!target)
            continue;
        createMissing(input, *target, capacity, decision);
        releaseSurplus(input, *target, capacity, decision);
    }
    m_draining = m_drainAsked;
    return decision;
}

auto ZoneOrders::note(const ZoneInput &input) -> void
{
    for (const auto &[id, order] : input.orders) {
        if (order.zone != input.zone || order.kind != state::OrderKind::Create)
            continue;
        if (order.settled)
            m_settledSince.try_emplace(id, input.now);
        if (serverOf(*input.servers, order) != nullptr)
            m_listed.insert(id);
    }
    std::erase_if(m_settledSince,
                  [&](const auto &entry) { return !input.orders.contains(entry.first); });
    std::erase_if(m_listed, [&](const auto &id) { return !input.orders.contains(id); });
}

auto ZoneOrders::countOrder(const ZoneInput &input, const state::OrderState &order,
                            Capacities &capacities) const -> void
{
    if (order.zone != input.zone || order.kind != state::OrderKind::Create)
        return;
    if (m_listed.contains(order.orderId))
        return;
    if (order.settled) {
        const auto since = m_settledSince.find(order.orderId);
        const auto forgotten =
            since != m_settledSince.end() && input.now - since->second > m_times.listLag;
        if (order.server.empty() || forgotten)
            return;
    }
    auto &capacity = capacities[order.service];
    ++(order.cheap ? capacity.cheap : capacity.dear);
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
        ++(server.cheap ? capacity.cheap : capacity.dear);
        capacity.servers.push_back(&server);
    }
    for (const auto &[id, order] : input.orders)
        countOrder(input, order, capacities);
    for (const auto &order : input.writing)
        countOrder(input, order, capacities);
    return capacities;
}

auto ZoneOrders::createMissing(const ZoneInput &input, const state::PlanTarget &target,
                               const Capacity &capacity, ZoneDecision &decision) const -> void
{
    const auto total = target.dear + target.cheap;
    const auto have = capacity.dear + capacity.cheap;
    const auto cheapRefused = isRefused(target.service, true, input.now);
    auto cheap = target.cheap > capacity.cheap ? target.cheap - capacity.cheap : 0;
    // Where no cheap server can be had an ordinary one takes its place.
    auto dear = target.dear > capacity.dear ? target.dear - capacity.dear : 0;
    if (cheapRefused) {
        cheap = 0;
        dear = total > have ? total - have : 0;
    }
    if (isRefused(target.service, false, input.now))
        dear = 0;
    const auto add = [&](std::uint32_t count, bool isCheap) {
        for (auto index = std::uint32_t(0); index < count; ++index)
            decision.intents.push_back({ state::OrderKind::Create, target.service, isCheap, {} });
    };
    add(dear, false);
    add(cheap, true);
}

auto ZoneOrders::releaseSurplus(const ZoneInput &input, const state::PlanTarget &target,
                                const Capacity &capacity, ZoneDecision &decision) -> void
{
    const auto total = target.dear + target.cheap;
    const auto have = capacity.dear + capacity.cheap;
    if (have <= total)
        return;
    auto surplus = have - total;
    auto over = std::map<bool, std::uint32_t> {
        { false, capacity.dear > target.dear ? capacity.dear - target.dear : 0 },
        { true, capacity.cheap > target.cheap ? capacity.cheap - target.cheap : 0 },
    };
    auto candidates = capacity.servers;
    std::sort(candidates.begin(), candidates.end(), [&](const auto *left, const auto *right) {
        // A server that drains already stays chosen, so that decisions do not waver.
        const auto key = [&](const BackendServer &server) {
            return std::tuple(!m_draining.contains(server.id), releaseRank(input, server),
                              server.id);
        };
        return key(*left) < key(*right);
    });
    for (const auto *server : candidates) {
        if (surplus == 0)
            return;
        if (over[server->cheap] == 0)
            continue;
        --over[server->cheap];
        --surplus;
        drain(input, *server, decision);
    }
}

auto ZoneOrders::drain(const ZoneInput &input, const BackendServer &server, ZoneDecision &decision)
    -> void
{
    const auto known = m_draining.find(server.id);
    const auto since = known == m_draining.end() ? input.now : known->second;
    m_drainAsked[server.id] = since;
    decision.hold.push_back(server.id);
    const auto load = input.loads.find(server.id);
    const auto idle = load != input.loads.end() && load->second.heard >= since + m_times.settle
        && (load->second.running == 0 || !load->second.alive);
    if (idle || input.now - since >= m_times.drain)
        decision.intents.push_back(
            { state::OrderKind::Release, server.service, server.cheap, server.id });
}

auto ZoneOrders::isRefused(const std::string &service, bool cheap, base::TimePoint now) const
    -> bool
{
    const auto refusal = m_refusals.find({ service, cheap });
    return refusal != m_refusals.end() && now < refusal->second.until;
}

auto ZoneOrders::refused(const std::string &service, bool cheap, base::TimePoint now) -> void
{
    auto &refusal = m_refusals[{ service, cheap }];
    const auto next = std::max(m_times.refusedFirst, base::Duration(2 * refusal.pause));
    refusal.pause = std::min(next, m_times.refusedMost);
    refusal.until = now + refusal.pause;
}

auto ZoneOrders::made(const std::string &service, bool cheap) -> void
{
    m_refusals.erase({ service, cheap });
}

} // namespace nutmegplank::version::orders
