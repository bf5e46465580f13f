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

//! Delays and timeouts of ZoneOrders.
struct OrderTimes
{
    //! How long a created server that the inventory does not list yet counts as capacity.
    base::Duration listLag = std::chrono::seconds(60);
    //! Time after a hold until load reports reflect it; older reports do not prove a server idle.
    base::Duration holdReportDelay = std::chrono::seconds(2);
    //! Longest wait for running work before a server is released anyway.
    base::Duration drainTimeout = std::chrono::seconds(45);
    //! Pause after the first refused create order; doubles with each further refusal.
    base::Duration refusalBackoffInitial = std::chrono::seconds(5);
    base::Duration refusalBackoffMax = std::chrono::seconds(60);
};

//! State that one decision is based on.
struct ZoneInput
{
    std::string zone;
    //! Operators took the zone out of service: all servers are released.
    bool outOfService = false;
    std::vector<state::PlanTarget> targets;          //!< Of all zones.
    process::inventory::ServerViewPtr servers;       //!< Of all zones.
    std::map<std::string, state::OrderState> orders; //!< Of the zone, from the log.
    //! Intents whose log records have not been read back yet.
    std::vector<state::OrderState> pendingIntents;
    process::reports::ServerLoads loads;
    base::TimePoint now {};
};

//! An order to place; its intent is written to the log before it is sent.
struct NewOrder
{
    state::OrderKind kind = state::OrderKind::Create;
    std::string service;
    bool cheap = false;
    std::string server; //!< Server id; for release orders only.
};

struct ZoneDecision
{
    std::vector<NewOrder> intents;
    //! Logged intents without an outcome, whichever process wrote them.
    std::vector<state::OrderState> ordersToSend;
    std::vector<std::string> serversToHold; //!< Ids of servers to drain: they get no new work.
};

//! Decides which backend servers of one zone to create and release by comparing the plan with the
//! inventory. Performs no I/O; keeps only what it has observed and when.
class ZoneOrders
{
public:
    explicit ZoneOrders(OrderTimes times);

    //! Records which orders have settled and whose servers the inventory has listed. Processes
    //! without the lease call it too, so that after a takeover they can tell a server that has
    //! disappeared from one that is not listed yet.
    auto trackOrders(const ZoneInput &input) -> void;
    //! Clears the drain and refusal state, which only the lease holder keeps up to date. Call it
    //! before the first decision after a takeover.
    auto resetForTakeover() -> void;
    auto decide(const ZoneInput &input) -> ZoneDecision;
    //! The platform refused to create a server; delays the next attempt with exponential backoff.
    auto onCreateRefused(const std::string &service, bool cheap, base::TimePoint now) -> void;
    //! Ends the backoff for this service and price.
    auto onCreateDone(const std::string &service, bool cheap) -> void;

private:
    //! Number of servers of one service in the zone, by price.
    struct Capacity
    {
        std::uint32_t regular = 0;
        std::uint32_t cheap = 0;
        //! Live ones; candidates for release.
        std::vector<const process::inventory::BackendServer *> servers;
    };
    struct Refusal
    {
        base::Duration pause {};
        base::TimePoint until {};
    };
    using Capacities = std::map<std::string, Capacity>; //!< By service.

    auto capacities(const ZoneInput &input) const -> Capacities;
    auto countUnlistedOrder(const ZoneInput &input, const state::OrderState &order,
                            Capacities &capacities) const -> void;
    auto createMissing(const ZoneInput &input, const state::PlanTarget &target,
                       const Capacity &capacity, ZoneDecision &decision) const -> void;
    auto releaseSurplus(const ZoneInput &input, const state::PlanTarget &target,
                        const Capacity &capacity, ZoneDecision &decision) -> void;
    auto drainServer(const ZoneInput &input, const process::inventory::BackendServer &server,
                     ZoneDecision &decision) -> void;
    auto isRefused(const std::string &service, bool cheap, base::TimePoint now) const -> bool;

    OrderTimes m_times;
    //! By order id: when its outcome was first seen.
    std::map<std::string, base::TimePoint> m_settledAt;
    //! Ids of orders whose server has appeared in the inventory.
    std::set<std::string> m_listedOrders;
    std::map<std::string, base::TimePoint> m_drainingSince; //!< By server id; start of the drain.
    //! Replaces m_drainingSince at the end of decide().
    std::map<std::string, base::TimePoint> m_nextDrainingSince;
    std::map<std::pair<std::string, bool>, Refusal> m_refusals; //!< By service and whether cheap.
};

} // namespace nutmegplank::version::orders
