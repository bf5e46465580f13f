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

//! Dependencies of WeightRunner; all referenced objects must outlive it.
struct WeightDependencies
{
    state::IPlatformLog &log;
    command::FencedCaller &caller; //!< Holds the lease "weights/<service>".
    process::inventory::IInventory &inventory;
    process::reports::LoadReports &reports;
    process::metrics::Registry &metrics;
    //! Asks the owners of the servers to send them no new requests.
    std::function<void(const std::vector<std::string> &servers)> hold;
};

struct WeightOptions
{
    std::string service;
    //! Concurrent loads allowed by the weight store, over all services.
    std::uint32_t maxConcurrentStoreLoads = 4;
    base::Duration period = std::chrono::milliseconds(100);
    WaveTiming timing;
};

//! While this process holds the lease of the service, sends its engines orders to load the weights,
//! model and adapters that they should have.
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
