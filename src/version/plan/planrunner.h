#pragma once

#include <memory>

#include <boost/asio/io_context.hpp>

#include "process/inventory/iinventory.h"
#include "process/metrics/metrics.h"
#include "process/reports/loadreports.h"
#include "version/lease/ilease.h"
#include "version/plan/planner.h"

namespace nutmegplank::version::plan {

//! Collaborators of PlanRunner; all must outlive it.
struct PlanDependencies
{
    state::IPlatformLog &log;
    const lease::ILease &lease; //!< Scope "plan".
    process::inventory::IInventory &inventory;
    process::reports::LoadReports &reports;
    process::metrics::Registry &metrics;
};

//! Writes a plan record to the log whenever the targets or the active preset change, while this
//! process holds the lease.
class PlanRunner
{
public:
    //! \a period is the time between two planning rounds.
    PlanRunner(boost::asio::io_context &context, PlanDependencies dependencies, PlanPolicy policy,
               base::Duration period);
    ~PlanRunner();

private:
    class Loop;
    std::shared_ptr<Loop> m_loop;
};

} // namespace nutmegplank::version::plan
