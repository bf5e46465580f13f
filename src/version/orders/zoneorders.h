#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/timepoint.h"
#include "process/inventory/iinventory.h"
#include "process/reports/loadreports.h"
#include "version/state/iplatformlog.h"

//! Backend server orders of one availability zone.
namespace nutmegplank::version::orders {

//! Times of the decisions.
struct OrderTimes
{
    base::Duration listLag = std::chrono::seconds(60); //!< A server that was ordered and is not in
                                                       //!< the list counts for this long.
    base::Duration settle = std::chrono::seconds(2);   //!< From a hold until reports show it.
    base::Duration drain = std::chrono::seconds(45);   //!< Longest wait for running work before a
                                                       //!< server is given back.
    base::Duration refusedFirst =
        std::chrono::seconds(5); //!< Pause after a refused order; doubles.
    base::Duration refusedMost = std::chrono::seconds(60);
};

//! What one decision looks at.
struct ZoneInput
{
    std::string zone;
    bool out = false; //!< Operators took the zone out: everything is given back.
    std::vector<state::PlanTarget> targets;          //!< Of all zones.
    process::inventory::ServerViewPtr servers;       //!< Of all zones.
    std::map<std::string, state::OrderState> orders; //!< Of all zones, from the log.
    std::vector<state::OrderState> writing;          //!< Intents that are not yet read back.
    process::reports::ServerLoads loads;
    base::TimePoint now {};
};

//! An order to be made; its intent goes into the log first.
struct NewOrder
{
    state::OrderKind kind = state::OrderKind::Create;
    std::string service;
    bool cheap = false;
    std::string server; //!< Release only.
};

struct ZoneDecision
{
    std::vector<NewOrder> intents;
    std::vector<state::OrderState> send; //!< Intents in the log without an outcome, own or not.
    std::vector<std::string> hold;       //!< Servers that shall get no new work: they will go.
};

//! Compares the plan with the servers of one zone. Pure, but for the memory of what was seen when.
class ZoneOrders
{
public:
    explicit ZoneOrders(OrderTimes times);

    auto decide(const ZoneInput &input) -> ZoneDecision;
    //! The platform refused to make a server; the next try waits.
    auto refused(const std::string &service, bool cheap, base::TimePoint now) -> void;
    auto made(const std::string &service, bool cheap) -> void;

private:
    //! Capacity of one service in the zone, by price.
    struct Capacity
    {
        std::uint32_t dear = 0;
        std::uint32_t cheap = 0;
        std::vector<const process::inventory::BackendServer *> servers; //!< That can be given back.
    };
    struct Refusal
    {
        base::Duration pause {};
        base::TimePoint until {};
    };
    using Capacities = std::map<std::string, Capacity>; //!< By service.

    auto note(const ZoneInput &input) -> void;
    auto capacities(const ZoneInput &input) const -> Capacities;
    auto countOrder(const ZoneInput &input, const state::OrderState &order,
                    Capacities &capacities) const -> void;
    auto createMissing(const ZoneInput &input, const state::PlanTarget &target,
                       const Capacity &capacity, ZoneDecision &decision) const -> void;
    auto releaseSurplus(const ZoneInput &input, const state::PlanTarget &target,
                        const Capacity &capacity, ZoneDecision &decision) -> void;
    auto drain(const ZoneInput &input, const process::inventory::BackendServer &server,
               ZoneDecision &decision) -> void;
    auto isRefused(const std::string &service, bool cheap, base::TimePoint now) const -> bool;

    OrderTimes m_times;
    std::map<std::string, base::TimePoint> m_settledSince; //!< By order id: outcome first seen.
    std::set<std::string> m_listed;                        //!< Order ids whose server was listed.
    std::map<std::string, base::TimePoint> m_draining;     //!< By server id.
    std::map<std::string, base::TimePoint> m_drainAsked;   //!< Draining servers of this decision.
    std::map<std::pair<std::string, bool>, Refusal> m_refusals;
};

} // namespace nutmegplank::version::orders
