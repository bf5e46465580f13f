#include "app/node/scalingduty.h"

#include <boost/asio.hpp>

#include "process/clock/clock.h"
#include "process/clock/pause.h"
#include "process/logging/logging.h"
#include "process/logging/taskfailure.h"

namespace nutmegplank::app::node {

namespace {

namespace asio = boost::asio;
using process::capacity::DutyOutcome;

constexpr auto DUTY_CHECK = std::chrono::milliseconds(500);

auto leavingCount(const process::capacity::CapacityInput &input) -> std::uint32_t
{
    auto count = std::uint32_t(0);
    for (const auto &zone : input.zones)
        count += zone.leaving;
    return count;
}

} // namespace

ScalingDuty::ScalingDuty(ScalingDutyParts parts)
    : m_parts(std::move(parts))
    , m_orders(m_parts.metrics.counter("nutmegplank_capacity_orders_total",
                                       "Orders of backend servers that the platform took."))
{ }

auto ScalingDuty::start() -> void
{
    asio::co_spawn(m_parts.context, dutyLoop(), process::logging::LogTaskFailure("scaling.duty"));
}

auto ScalingDuty::dutyLoop() -> asio::awaitable<void>
{
    while (true) {
        co_await process::clock::pauseFor(DUTY_CHECK);
        const auto table = m_parts.routing();
        if (table == nullptr)
            continue;
        for (const auto &[name, service] : table->services) {
            if (service.scaling.has_value())
                co_await checkService(service);
        }
    }
}

auto ScalingDuty::checkService(const version::routing::Service &service) -> asio::awaitable<void>
{
    // One zone may not have room for all that is missing.
    for (auto orders = std::size_t(0); orders < service.scaling->zonePrices.size(); ++orders) {
        const auto now = process::clock::now();
        const auto input = inputFor(service, now);
        const auto fence = m_parts.fence(now);
        if (!fence.has_value()) {
            m_planner.observe(input);
            co_return;
        }
        const auto order = m_planner.decide(input);
        if (!order.has_value())
            co_return;
        const auto outcome = co_await m_parts.duties.orderServers(*order, *fence);
        noteOutcome(*order, outcome);
        process::logging::info(
            "capacity.order",
            { { "service", service.name },
              { "zone", order->zone },
              { "count", order->count },
              { "leaving", leavingCount(input) },
              { "fence", *fence },
              { "outcome", base::nameOf(process::capacity::DUTY_OUTCOME_NAMES, outcome) } });
        if (outcome != DutyOutcome::Accepted)
            co_return;
    }
}

auto ScalingDuty::noteOutcome(const process::capacity::CapacityOrder &order, DutyOutcome outcome)
    -> void
{
    const auto now = process::clock::now();
    switch (outcome) {
    case DutyOutcome::Accepted:
        m_orders.add();
        m_planner.noteTaken(order, now);
        return;
    case DutyOutcome::Conflict:
    case DutyOutcome::Rejected:
        m_planner.noteRefused(order, now);
        return;
    case DutyOutcome::Busy:
    case DutyOutcome::NoAnswer:
        m_planner.noteUnanswered(order, now);
        return;
    }
}

auto ScalingDuty::inputFor(const version::routing::Service &service, base::TimePoint now) const
    -> process::capacity::CapacityInput
{
    auto input = process::capacity::CapacityInput();
    input.service = service.name;
    input.most = service.scaling->most;
    input.startup = service.scaling->startup;
    input.now = now;
    auto zones = std::map<std::string, process::capacity::ZoneCapacity>();
    for (const auto &[id, server] : m_parts.servers.all()) {
        const auto &record = server.record;
        if (record.service != service.name)
            continue;
        auto &zone = zones[record.zone];
        if (m_parts.servers.usable(server))
            ++(record.reclaimable ? zone.reclaimable : zone.ready);
        else if (record.leavesIn.has_value())
            ++zone.leaving;
    }
    for (const auto &[name, price] : service.scaling->zonePrices) {
        auto zone = zones[name];
        zone.zone = name;
        zone.price = price;
        if (!m_parts.servers.zonesOut().contains(name))
            input.zones.push_back(std::move(zone));
    }
    return input;
}

} // namespace nutmegplank::app::node
