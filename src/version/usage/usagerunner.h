#pragma once

#include <memory>

#include <boost/asio/io_context.hpp>

#include "connection/link/ilink.h"
#include "process/membership/imembership.h"
#include "process/metrics/metrics.h"
#include "version/command/fencedcaller.h"
#include "version/usage/usagewindow.h"

namespace nutmegplank::version::usage {

//! What the runner works with; all must outlive it.
struct UsageDependencies
{
    state::IPlatformLog &log;
    command::FencedCaller &caller; //!< Of the lease "usage".
    connection::link::ILink &link;
    process::membership::IMembership &membership;
    process::metrics::Registry &metrics;
};

struct UsageOptions
{
    command::FencedPeer reporting; //!< The platform's usage reporting.
    std::string reporter;          //!< Id of this process, named in reports.
    base::Duration window = std::chrono::seconds(10);
    base::Duration collectTime = std::chrono::seconds(1); //!< Longest wait for other controllers.
};

//! Keeps the counters that gateways send; closes and reports windows while this process holds the
//! lease "usage". Only what was read back from the log is reported.
class UsageRunner
{
public:
    UsageRunner(boost::asio::io_context &context, UsageDependencies dependencies,
                UsageOptions options);
    ~UsageRunner();

    //! Takes UsageCounters, UsageCollect and UsageCollected; other messages are ignored.
    auto take(const wire::Envelope &message) -> void;

private:
    class Loop;
    std::shared_ptr<Loop> m_loop;
};

} // namespace nutmegplank::version::usage
