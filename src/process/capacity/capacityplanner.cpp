#include "process/capacity/capacityplanner.h"

#include <algorithm>

namespace nutmegplank::process::capacity {

auto CapacityPlanner::decide(const CapacityInput &input) -> std::optional<CapacityOrder>
{
    auto &state = m_services[input.service];
    auto expected = std::uint32_t(0);
    auto ready = std::uint32_t(0);
    for (const auto &zone : input.zones) {
        const auto &known = state.zones[zone.zone];
        const auto coming = known.ordered.has_value()
            && input.now - known.orderedAt < input.startup + m_times.orderPatience;
        ready += zone.ready;
        expected += coming ? std::max(zone.ready, *known.ordered) : zone.ready;
    }
    const auto anyOrdered = std::ranges::any_of(
        state.zones, [](const auto &zone) { return zone.second.ordered.has_value(); });
    if (!anyOrdered)
        state.usual = std::max(state.usual, ready);
    if (expected >= state.usual) {
        state.lackSince.reset();
        return std::nullopt;
    }
    if (!state.lackSince.has_value())
        state.lackSince = input.now;
    if (input.now - *state.lackSince < m_times.settle)
        return std::nullopt;
    const ZoneCapacity *best = nullptr;
    for (const auto &zone : input.zones) {
        const auto &known = state.zones[zone.zone];
        if (zone.ready >= input.most || input.now < known.refusedUntil)
            continue;
        const auto coming = known.ordered.has_value() && *known.ordered > zone.ready
            && input.now - known.orderedAt < input.startup + m_times.orderPatience;
        if (coming && *known.ordered >= input.most)
            continue;
        if (best == nullptr || zone.price < best->price)
            best = &zone;
    }
    if (best == nullptr)
        return std::nullopt;
    const auto wanted = best->ready + (state.usual - expected);
    return CapacityOrder { input.service, best->zone, std::min(wanted, input.most) };
}

auto CapacityPlanner::taken(const CapacityOrder &order, base::TimePoint now) -> void
{
    auto &zone = m_services[order.service].zones[order.zone];
    zone.ordered = order.count;
    zone.orderedAt = now;
}

auto CapacityPlanner::refused(const CapacityOrder &order, base::TimePoint now) -> void
{
    m_services[order.service].zones[order.zone].refusedUntil = now + m_times.refusedPause;
}

} // namespace nutmegplank::process::capacity
