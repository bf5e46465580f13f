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

} // namespace

ScalingDuty::ScalingDuty(ScalingDutyParts parts)
    : m_parts(std::move(parts))
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
    const auto now = process::clock::now();
    const auto fence = m_parts.fence(now);
    if (!fence.has_value())
        co_return;
    const auto order = m_planner.decide(inputFor(service, now));
    if (!order.has_value())
        co_return;
    const auto outcome = co_await m_parts.duties.orderServers(*order, *fence);
    process::logging::info(
        "capacity.order",
        { { "service", service.name },
          { "zone", order->zone },
          { "count", order->count },
          { "fence", *fence },
          { "outcome", base::nameOf(process::capacity::DUTY_OUTCOME_NAMES, outcome) } });
    if (outcome == DutyOutcome::Accepted)
        m_planner.taken(*order, process::clock::now());
    else
        m_planner.refused(*order, process::clock::now());
}

auto ScalingDuty::inputFor(const version::routing::Service &service, base::TimePoint now) const
    -> process::capacity::CapacityInput
{
    auto input = process::capacity::CapacityInput();
    input.service = service.name;
    input.most = service.scaling->most;
    input.startup = service.scaling->startup;
    input.now = now;
    auto ready = std::map<std::string, std::uint32_t>();
    for (const auto &[id, server] : m_parts.servers.all()) {
        if (server.record.service == service.name && m_parts.servers.usable(server))
            ++ready[server.record.zone];
    }
    for (const auto &[zone, price] : service.scaling->zonePrices) {
        if (!m_parts.servers.zonesOut().contains(zone))
            input.zones.push_back({ zone, ready[zone], price });
    }
    return input;
}

} // namespace nutmegplank::app::node
