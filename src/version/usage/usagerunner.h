#pragma once

#include <memory>

#include <boost/asio/io_context.hpp>

#include "connection/link/ilink.h"
#include "process/membership/imembership.h"
#include "process/metrics/metrics.h"
#include "version/command/fencedcaller.h"
#include "version/usage/usagewindow.h"

namespace nutmegplank::version::usage {

//! Dependencies of UsageRunner; all referenced objects must outlive it.
struct UsageDependencies
{
    state::IPlatformLog &log;
    command::FencedCaller &caller; //!< Holds the lease "usage".
    connection::link::ILink &link;
    process::membership::IMembership &membership;
    process::metrics::Registry &metrics;
};

struct UsageOptions
{
    command::FencedPeer reportingEndpoint; //!< Usage reporting endpoint of the platform.
    std::string reporterId;                //!< Id of this process, included in reports.
    base::Duration window = std::chrono::seconds(10);
    base::Duration collectTimeout = std::chrono::seconds(1); //!< For other controllers.
};

//! Merges the counters that gateways send. While this process holds the lease "usage", closes usage
//! windows in the log and reports them to the platform. Only windows that were read back from the
//! log are reported.
class UsageRunner
{
public:
    UsageRunner(boost::asio::io_context &context, UsageDependencies dependencies,
                UsageOptions options);
    ~UsageRunner();

    //! Handles UsageCounters, UsageCollect and UsageCollected messages; ignores others.
    auto take(const wire::Envelope &message) -> void;

private:
    class Loop;
    std::shared_ptr<Loop> m_loop;
};

} // namespace nutmegplank::version::usage
