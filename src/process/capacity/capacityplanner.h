#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/timepoint.h"

//! How many backend servers a service has in each availability zone.
namespace nutmegplank::process::capacity {

struct ZoneCapacity
{
    std::string zone;
    std::uint32_t ready = 0;       //!< Servers that stay.
    std::uint32_t reclaimable = 0; //!< Ready servers that the platform may take back at any time.
    std::uint32_t leaving = 0;     //!< Servers that said when they end.
    double price = 1.0;
};

struct CapacityInput
{
    std::string service;
    std::vector<ZoneCapacity> zones;
    std::uint32_t most = 0; //!< In each zone, reclaimable servers included.
    base::Duration startup = std::chrono::seconds(4);
    base::TimePoint now {};
};

struct CapacityOrder
{
    std::string service;
    std::string zone;
    std::uint32_t count = 0; //!< Servers of the service in the zone that stay, altogether.
};

struct CapacityTimes
{
    base::Duration settle = std::chrono::milliseconds(1500); //!< A lack must last this long.
    //! Until a zone that had none to give is asked again; doubled with each refusal.
    base::Duration firstRefusedPause = std::chrono::seconds(1);
    base::Duration lastRefusedPause = std::chrono::seconds(4);
    base::Duration repeatPause = std::chrono::seconds(1);   //!< Of an order without an answer.
    base::Duration orderPatience = std::chrono::seconds(4); //!< Beyond the startup time.
};

//! Answers the pattern of servers that vanish a zone at a time, with or without a notice of some
//! seconds: keeps the number that the service had at its start, in other zones when one has none to
//! give, cheapest first. Replaces announced losses at once and others when they last. Not safe for
//! several threads.
class CapacityPlanner
{
public:
    explicit CapacityPlanner(CapacityTimes times = {})
        : m_times(times)
    { }

    //! Learns how many servers the service usually has. Machines that are not in charge do so too,
    //! since they may take over while servers are missing.
    auto observe(const CapacityInput &input) -> void;
    //! The next order; nothing if all servers are there or on their way. Implies observe().
    auto decide(const CapacityInput &input) -> std::optional<CapacityOrder>;
    //! The platform took the order.
    auto noteTaken(const CapacityOrder &order, base::TimePoint now) -> void;
    //! The platform has none to give in that zone.
    auto noteRefused(const CapacityOrder &order, base::TimePoint now) -> void;
    //! The order may be carried out or not. It is repeated in the same zone: counts are absolute,
    //! so a repeat adds nothing, while an order in another zone would.
    auto noteUnanswered(const CapacityOrder &order, base::TimePoint now) -> void;

private:
    struct ZoneState
    {
        std::optional<std::uint32_t> ordered; //!< Newest count that the platform took.
        base::TimePoint orderedAt {};
        base::Duration refusedPause { 0 }; //!< 0 if the last order was not refused.
        base::TimePoint refusedUntil {};
    };
    struct ServiceState
    {
        std::uint32_t usual = 0; //!< Most servers seen at one time while nothing was ordered.
        std::optional<base::TimePoint> lackSince;
        std::map<std::string, ZoneState> zones;
        std::optional<CapacityOrder> unanswered;
        base::TimePoint unansweredSince {};
        base::TimePoint repeatAt {};
    };

    auto isComing(const ZoneState &zone, const CapacityInput &input) const -> bool;
    //! Servers that stay in \a zone, with those on their way.
    auto expectedStaying(const ZoneState &state, const ZoneCapacity &zone,
                         const CapacityInput &input) const -> std::uint32_t;
    auto mayRepeat(const ServiceState &state, const CapacityInput &input) const -> bool;
    auto cheapestZone(ServiceState &state, const CapacityInput &input) const
        -> const ZoneCapacity *;

    CapacityTimes m_times;
    std::map<std::string, ServiceState> m_services;
};

} // namespace nutmegplank::process::capacity
