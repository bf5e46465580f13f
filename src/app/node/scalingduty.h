#pragma once

#include <functional>
#include <optional>

#include <boost/asio/io_context.hpp>

#include "process/capacity/iplatformduties.h"
#include "process/metrics/metrics.h"
#include "process/servers/servertable.h"
#include "version/routing/routingtable.h"

namespace nutmegplank::app::node {

//! What the scaling duty works with; all of it outlives the duty.
struct ScalingDutyParts
{
    boost::asio::io_context &context;
    process::servers::ServerTable &servers;
    process::capacity::IPlatformDuties &duties;
    process::metrics::Registry &metrics;
    std::function<version::routing::RoutingTablePtr()> routing;
    //! The fencing number while this process is in charge.
    std::function<std::optional<std::uint64_t>(base::TimePoint now)> fence;
};

//! Orders backend servers from the platform on the machine in charge.
class ScalingDuty
{
public:
    explicit ScalingDuty(ScalingDutyParts parts);

    auto start() -> void;

private:
    auto dutyLoop() -> boost::asio::awaitable<void>;
    auto checkService(const version::routing::Service &service) -> boost::asio::awaitable<void>;
    auto noteOutcome(const process::capacity::CapacityOrder &order,
                     process::capacity::DutyOutcome outcome) -> void;
    auto inputFor(const version::routing::Service &service, base::TimePoint now) const
        -> process::capacity::CapacityInput;

    ScalingDutyParts m_parts;
    process::capacity::CapacityPlanner m_planner;
    process::metrics::Counter &m_orders;
};

} // namespace nutmegplank::app::node
