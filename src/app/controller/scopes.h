#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include "app/controller/controllersettings.h"
#include "connection/link/ilink.h"
#include "process/inventory/iinventory.h"
#include "process/membership/imembership.h"
#include "process/metrics/metrics.h"
#include "process/reports/loadreports.h"
#include "version/command/claimturn.h"
#include "version/command/fencedcaller.h"
#include "version/orders/orderrunner.h"
#include "version/plan/planrunner.h"
#include "version/state/snapshotwriter.h"
#include "version/usage/usagerunner.h"
#include "version/weights/weightrunner.h"

namespace nutmegplank::app {

//! What scopes work with; all must outlive them.
struct ScopeDependencies
{
    boost::asio::io_context &context;
    connection::link::ILink &link;
    process::membership::IMembership &membership;
    version::state::IPlatformLog &log;
    process::inventory::IInventory &inventory;
    process::reports::LoadReports &reports;
    process::metrics::Registry &metrics;
};

//! All scopes that this process takes part in, and what it does in those that it holds: plan,
//! usage, snapshots, orders of each zone, weights of each engine service. Scopes come with the
//! configuration and stay until the process ends.
class Scopes
{
public:
    Scopes(ScopeDependencies dependencies, const ControllerSettings &settings);

    //! Looks for new zones and services from now on.
    auto start() -> void;
    //! Gives all leases up.
    auto release() -> void;
    //! Hands a message from another process to who needs it.
    auto take(const wire::Envelope &message) -> void;
    //! Leases that this process holds, for the status page.
    auto status() const -> boost::json::object;

private:
    //! One scope; the lease must outlive caller and runners.
    struct Scope
    {
        std::unique_ptr<version::lease::ILease> lease;
        std::unique_ptr<version::command::FencedCaller> caller;
        std::unique_ptr<version::orders::OrderRunner> orders;
        std::unique_ptr<version::weights::WeightRunner> weights;
    };

    auto open(const std::string &name) -> Scope &;
    auto mayClaim(const std::string &scope, version::command::ClaimTurn &turn,
                  base::TimePoint now) const -> bool;
    auto follow() -> boost::asio::awaitable<void>;
    auto openNew() -> void;
    auto openZone(const std::string &zone) -> void;
    auto openEngines(const std::string &service) -> void;
    auto hold(const std::vector<std::string> &servers) -> void;

    ScopeDependencies m_dependencies;
    const ControllerSettings &m_settings;
    std::string m_holder;
    mutable std::mutex m_mutex;
    std::map<std::string, Scope> m_scopes;
    std::unique_ptr<version::plan::PlanRunner> m_plan;
    std::unique_ptr<version::usage::UsageRunner> m_usage;
    std::unique_ptr<version::state::ISnapshotWriter> m_snapshots;
    bool m_released = false;
};

} // namespace nutmegplank::app
