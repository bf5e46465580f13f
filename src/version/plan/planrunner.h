#pragma once

#include <memory>

#include <boost/asio/io_context.hpp>

#include "process/inventory/iinventory.h"
#include "process/metrics/metrics.h"
#include "process/reports/loadreports.h"
#include "version/lease/ilease.h"
#include "version/plan/planner.h"

namespace nutmegplank::version::plan {

//! What the runner works with; all must outlive it.
struct PlanDependencies
{
    state::IPlatformLog &log;
    const lease::ILease &lease; //!< Scope "plan".
    process::inventory::IInventory &inventory;
    process::reports::LoadReports &reports;
    process::metrics::Registry &metrics;
};

//! Writes a plan record into the log whenever the target changes and this process is in charge.
class PlanRunner
{
public:
    PlanRunner(boost::asio::io_context &context, PlanDependencies dependencies, PlanPolicy policy,
               base::Duration period);
    ~PlanRunner();

private:
    class Loop;
    std::shared_ptr<Loop> m_loop;
};

} // namespace nutmegplank::version::plan
