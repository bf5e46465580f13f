#include "request/execution/demandmeter.h"

namespace nutmegplank::request::execution {

auto DemandMeter::recordArrival(const std::string &service) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    auto &counts = m_counts[service];
    ++counts.arrivals;
    ++counts.waiting;
}

auto DemandMeter::recordStart(const std::string &service, base::Duration waitTime) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    auto &counts = m_counts[service];
    --counts.waiting;
    ++counts.starts;
    counts.totalWait += waitTime;
}

auto DemandMeter::collect() -> std::vector<ServiceDemand>
{
    const auto lock = std::lock_guard(m_mutex);
    auto demand = std::vector<ServiceDemand>();
    for (auto &[service, counts] : m_counts) {
        const auto starts = static_cast<std::int64_t>(std::max<std::uint64_t>(counts.starts, 1));
        demand.push_back({ service, counts.arrivals, counts.waiting, counts.totalWait / starts });
        counts = Counts { 0, counts.waiting, 0, {} };
    }
    return demand;
}

} // namespace nutmegplank::request::execution
