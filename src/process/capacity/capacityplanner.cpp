#include "process/capacity/capacityplanner.h"

#include <algorithm>

namespace nutmegplank::process::capacity {

auto CapacityPlanner::isComing(const ZoneState &zone, const CapacityInput &input) const -> bool
{
    return zone.ordered.has_value()
        && input.now - zone.orderedAt < input.startup + m_times.orderPatience;
}

auto CapacityPlanner::expectedStaying(const ZoneState &state, const ZoneCapacity &zone,
                                      const CapacityInput &input) const -> std::uint32_t
{
    return isComing(state, input) ? std::max(zone.ready, *state.ordered) : zone.ready;
}

auto CapacityPlanner::observe(const CapacityInput &input) -> void
{
    auto &state = m_services[input.service];
    const auto anyOrdered = std::ranges::any_of(
        state.zones, [](const auto &zone) { return zone.second.ordered.has_value(); });
    if (anyOrdered)
        return;
    auto ready = std::uint32_t(0);
    for (const auto &zone : input.zones)
        ready += zone.ready + zone.reclaimable;
    state.usual = std::max(state.usual, ready);
}

//! A count that the zone has reached meanwhile must not be ordered again: the zone may have more
//! servers by then, and the repeat would take them away.
auto CapacityPlanner::mayRepeat(const ServiceState &state, const CapacityInput &input) const -> bool
{
    const auto zone = std::ranges::find(input.zones, state.unanswered->zone, &ZoneCapacity::zone);
    return zone != input.zones.end() && zone->ready < state.unanswered->count
        && input.now < state.unansweredSince + m_times.orderPatience;
}

auto CapacityPlanner::cheapestZone(ServiceState &state, const CapacityInput &input) const
    -> const ZoneCapacity *
{
    const ZoneCapacity *best = nullptr;
    auto bestRank = std::pair(true, 0.0);
    for (const auto &zone : input.zones) {
        const auto &known = state.zones[zone.zone];
        const auto staying = expectedStaying(known, zone, input);
        if (staying + zone.reclaimable >= input.most || input.now < known.refusedUntil)
            continue;
        // A zone that had none a moment ago is asked after all others.
        const auto rank = std::pair(known.refusedPause.count() > 0, zone.price);
        if (best != nullptr && rank >= bestRank)
            continue;
        best = &zone;
        bestRank = rank;
    }
    return best;
}

auto CapacityPlanner::decide(const CapacityInput &input) -> std::optional<CapacityOrder>
{
    observe(input);
    auto &state = m_services[input.service];
    if (state.unanswered.has_value() && !mayRepeat(state, input))
        state.unanswered.reset();
    if (state.unanswered.has_value())
        return input.now < state.repeatAt ? std::nullopt : state.unanswered;
    auto expected = std::uint32_t(0);
    auto announced = std::uint32_t(0);
    for (const auto &zone : input.zones) {
        expected += expectedStaying(state.zones[zone.zone], zone, input) + zone.reclaimable;
        announced += zone.leaving;
    }
    if (expected >= state.usual) {
        state.lackSince.reset();
        return std::nullopt;
    }
    if (!state.lackSince.has_value())
        state.lackSince = input.now;
    auto missing = state.usual - expected;
    if (input.now - *state.lackSince < m_times.settle)
        missing = std::min(missing, announced);
    if (missing == 0)
        return std::nullopt;
    const auto *zone = cheapestZone(state, input);
    if (zone == nullptr)
        return std::nullopt;
    const auto staying = expectedStaying(state.zones[zone->zone], *zone, input);
    return CapacityOrder { input.service, zone->zone,
                           std::min(staying + missing, input.most - zone->reclaimable) };
}

auto CapacityPlanner::noteTaken(const CapacityOrder &order, base::TimePoint now) -> void
{
    auto &state = m_services[order.service];
    auto &zone = state.zones[order.zone];
    zone.ordered = order.count;
    zone.orderedAt = now;
    zone.refusedPause = base::Duration(0);
    state.unanswered.reset();
}

auto CapacityPlanner::noteRefused(const CapacityOrder &order, base::TimePoint now) -> void
{
    auto &state = m_services[order.service];
    auto &zone = state.zones[order.zone];
    zone.refusedPause =
        std::clamp(2 * zone.refusedPause, m_times.firstRefusedPause, m_times.lastRefusedPause);
    zone.refusedUntil = now + zone.refusedPause;
    state.unanswered.reset();
}

auto CapacityPlanner::noteUnanswered(const CapacityOrder &order, base::TimePoint now) -> void
{
    auto &state = m_services[order.service];
    if (!state.unanswered.has_value())
        state.unansweredSince = now;
    state.unanswered = order;
    state.repeatAt = now + m_times.repeatPause;
}

} // namespace nutmegplank::process::capacity
