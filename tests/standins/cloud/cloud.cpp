#include "cloud/cloud.h"

#include <algorithm>

#include "base/text.h"

namespace nutmegplank::standins {

namespace {

constexpr auto ANY = base::IntegerRange { 0, std::numeric_limits<std::int64_t>::max() };
constexpr auto CONFLICT = 409U;
constexpr auto NOT_FOUND = 404U;
constexpr auto GONE = "gone";
constexpr auto LIVE = "live";

} // namespace

Cloud::Cloud(std::vector<PoolServer> pool, base::TimePoint now)
    : m_pool(std::move(pool))
{
    for (auto index = std::size_t(0); index < m_pool.size(); ++index) {
        auto &server = m_pool[index];
        if (!server.live)
            continue;
        server.taken = true;
        ++server.generation;
        auto &vm = m_vms[server.id];
        vm.id = server.id;
        vm.pool = index;
        setState(vm, LIVE, now);
    }
}

auto Cloud::setState(Vm &vm, const std::string &state, base::TimePoint now) -> void
{
    if (state == GONE) {
        const auto seconds = base::toSeconds(now - vm.since);
        (m_pool[vm.pool].cheap ? m_cheapSeconds : m_dearSeconds) += seconds;
        m_pool[vm.pool].taken = false;
    }
    if (vm.state.empty())
        vm.since = now;
    vm.state = state;
    m_changes.push_back({ vm.id, state, now });
    const auto live = std::count_if(m_vms.begin(), m_vms.end(),
                                    [](const auto &entry) { return entry.second.state != GONE; });
    m_mostLive = std::max(m_mostLive, static_cast<std::size_t>(live));
}

auto Cloud::order(const std::string &orderId, base::ObjectReader &body, base::TimePoint now)
    -> CloudAnswer
{
    const auto scope = body.string("scope");
    const auto number = static_cast<std::uint64_t>(body.integer("fencing_number", ANY));
    auto &newest = m_newestNumbers[scope];
    const auto stale = number < newest;
    m_stale += stale ? 1 : 0;
    newest = std::max(newest, number);
    const auto refused = stale && m_faults.checksFencing;
    m_arrivals[scope].push_back(
        { number, base::toMilliseconds(now.time_since_epoch()), orderId, refused });
    if (refused)
        return { CONFLICT, { { "newest", newest } } };
    auto known = m_orders.find(orderId);
    if (known == m_orders.end())
        known = m_orders.emplace(orderId, create(orderId, body, now)).first;
    known->second.scope = scope;
    known->second.fencingNumbers.push_back(number);
    auto answer = find(orderId);
    if (m_faults.loseAnswers > 0) {
        --m_faults.loseAnswers;
        answer.lost = true;
    }
    return answer;
}

auto Cloud::create(const std::string &orderId, base::ObjectReader &body, base::TimePoint now)
    -> Order
{
    auto order = Order { body.string("kind"), body.string("server", ""), "done", {}, {} };
    if (order.kind == "release") {
        release(order.server, now);
        return order;
    }
    const auto service = body.string("service");
    const auto zone = body.string("zone");
    const auto cheap = body.boolean("cheap", false);
    order.state = "refused";
    if (m_faults.refuseOrders > 0) {
        --m_faults.refuseOrders;
        return order;
    }
    if (cheap && m_faults.refuseCheap)
        return order;
    for (auto index = std::size_t(0); index < m_pool.size(); ++index) {
        auto &server = m_pool[index];
        if (server.taken || server.service != service || server.zone != zone)
            continue;
        server.taken = true;
        // The platform sells the same kind of VM as cheap or not.
        server.cheap = cheap;
        const auto generation = ++server.generation;
        order.server = generation == 1 ? server.id : base::concat(server.id, "-", generation);
        order.state = "done";
        auto &vm = m_vms[order.server];
        vm.id = order.server;
        vm.pool = index;
        vm.orderId = orderId;
        setState(vm, LIVE, now);
        break;
    }
    return order;
}

auto Cloud::release(const std::string &server, base::TimePoint now) -> void
{
    const auto vm = m_vms.find(server);
    if (vm != m_vms.end() && vm->second.state != GONE)
        setState(vm->second, GONE, now);
}

auto Cloud::find(const std::string &orderId) const -> CloudAnswer
{
    const auto order = m_orders.find(orderId);
    if (order == m_orders.end())
        return { NOT_FOUND, {} };
    return { 200,
             { { "order_id", orderId },
               { "server", order->second.server },
               { "state", order->second.state } } };
}

auto Cloud::publish(base::TimePoint now) -> void
{
    for (auto &[id, vm] : m_vms) {
        if (vm.state != GONE && vm.goneAt <= now)
            setState(vm, GONE, now);
    }
    while (!m_changes.empty() && now - m_changes.front().at >= m_faults.lag) {
        m_listed[m_changes.front().vm] = { ++m_revision, m_changes.front().state };
        m_changes.pop_front();
    }
}

auto Cloud::hasNews(std::uint64_t since, base::TimePoint now) -> bool
{
    publish(now);
    return m_revision > since;
}

auto Cloud::toJson(const Vm &vm, const std::string &state) const -> boost::json::object
{
    const auto &server = m_pool[vm.pool];
    return { { "id", vm.id },
             { "service", server.service },
             { "zone", server.zone },
             { "address", server.address },
             { "cheap", server.cheap },
             { "checks_fencing", server.checksFencing },
             { "order_id", vm.orderId },
             { "state", state } };
}

auto Cloud::list(std::uint64_t since, base::TimePoint now) -> boost::json::object
{
    publish(now);
    const auto full = since == 0 || since > m_revision;
    auto vms = boost::json::array();
    for (const auto &[id, listed] : m_listed) {
        if (full ? listed.state != GONE : listed.revision > since)
            vms.push_back(toJson(m_vms.at(id), listed.state));
    }
    return { { "revision", m_revision }, { "full", full }, { "vms", vms } };
}

auto Cloud::reclaim(const std::string &zone, const std::string &service, base::Duration notice,
                    base::TimePoint now) -> void
{
    for (auto &[id, vm] : m_vms) {
        const auto &server = m_pool[vm.pool];
        if (vm.state == GONE || !server.cheap || server.zone != zone
            || (!service.empty() && server.service != service))
            continue;
        if (notice.count() > 0)
            setState(vm, "leaving", now);
        vm.goneAt = now + notice;
    }
    publish(now);
}

auto Cloud::markLeaving(const std::string &vm, base::TimePoint now) -> void
{
    const auto found = m_vms.find(vm);
    if (found != m_vms.end() && found->second.state == LIVE)
        setState(found->second, "leaving", now);
}

auto Cloud::remove(const std::string &vm, base::TimePoint now) -> void
{
    release(vm, now);
}

auto Cloud::stats(base::TimePoint now) const -> boost::json::object
{
    auto orders = boost::json::array();
    for (const auto &[id, order] : m_orders) {
        orders.push_back({ { "order_id", id },
                           { "kind", order.kind },
                           { "server", order.server },
                           { "state", order.state },
                           { "scope", order.scope },
                           { "count", order.fencingNumbers.size() },
                           { "fencing_numbers", boost::json::value_from(order.fencingNumbers) } });
    }
    auto scopes = boost::json::object();
    for (const auto &[scope, arrivals] : m_arrivals) {
        auto list = boost::json::array();
        for (const auto &arrival : arrivals)
            list.push_back({ { "fencing_number", arrival.fencingNumber },
                             { "at_ms", arrival.atMs },
                             { "order_id", arrival.orderId },
                             { "refused", arrival.refused } });
        scopes[scope] = std::move(list);
    }
    auto live = boost::json::array();
    auto dear = m_dearSeconds;
    auto cheap = m_cheapSeconds;
    for (const auto &[id, vm] : m_vms) {
        if (vm.state == GONE)
            continue;
        live.push_back(toJson(vm, vm.state));
        (m_pool[vm.pool].cheap ? cheap : dear) += base::toSeconds(now - vm.since);
    }
    return { { "orders", orders },      { "scopes", scopes },        { "stale_orders", m_stale },
             { "live", live },          { "most_live", m_mostLive }, { "dear_seconds", dear },
             { "cheap_seconds", cheap } };
}

} // namespace nutmegplank::standins
