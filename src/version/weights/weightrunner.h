#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "process/inventory/iinventory.h"
#include "process/metrics/metrics.h"
#include "process/reports/loadreports.h"
#include "version/command/fencedcaller.h"
#include "version/weights/wavescheduler.h"

namespace nutmegplank::version::weights {

//! What the runner works with; all must outlive it.
struct WeightDependencies
{
    state::IPlatformLog &log;
    command::FencedCaller &caller; //!< Of the lease "weights/<service>".
    process::inventory::IInventory &inventory;
    process::reports::LoadReports &reports;
    process::metrics::Registry &metrics;
    //! Asks the owners of servers to give them no new work.
    std::function<void(const std::vector<std::string> &servers)> hold;
};

struct WeightOptions
{
    std::string service;
    std::uint32_t storeRate = 4; //!< Loads at once that the weight store bears, over all services.
    base::Duration period = std::chrono::milliseconds(100);
    WaveTimes times;
};

//! Orders engines of one service to load what they should have, while this process holds the lease
//! of the service.
class WeightRunner
{
public:
    WeightRunner(boost::asio::io_context &context, WeightDependencies dependencies,
                 WeightOptions options);
    ~WeightRunner();

private:
    class Loop;
    std::shared_ptr<Loop> m_loop;
};

} // namespace nutmegplank::version::weights
