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
#include "version/orders/zoneorders.h"

namespace nutmegplank::version::orders {

//! Collaborators of OrderRunner; all must outlive it.
struct OrderDependencies
{
    state::IPlatformLog &log;
    command::FencedCaller &caller; //!< For the lease scope "orders/<zone>".
    process::inventory::IInventory &inventory;
    process::reports::LoadReports &reports;
    process::metrics::Registry &metrics;
    //! Asks the processes that own the servers (by id) to send them no new work.
    std::function<void(const std::vector<std::string> &servers)> holdServers;
};

struct OrderOptions
{
    std::string zone;
    command::FencedPeer ordering;                           //!< The platform's ordering interface.
    base::Duration period = std::chrono::milliseconds(500); //!< Between two decisions.
    OrderTimes times;
};

//! Creates and releases the backend servers of one zone while this process holds the zone's lease.
//! The intent of each order is written to the log before the order is sent. An order without an
//! outcome is sent again under the same id, whichever process wrote the intent.
class OrderRunner
{
public:
    OrderRunner(boost::asio::io_context &context, OrderDependencies dependencies,
                OrderOptions options);
    ~OrderRunner();

private:
    class Loop;
    std::shared_ptr<Loop> m_loop;
};

} // namespace nutmegplank::version::orders
