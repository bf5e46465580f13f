#pragma once

#include "connection/link/ilink.h"
#include "process/membership/imembership.h"
#include "request/execution/requestrunner.h"
#include "request/step/istepservice.h"
#include "version/state/iplatformlog.h"
#include "version/usage/iusagecounters.h"

namespace nutmegplank::app::gateway {

//! What a reporter uses; all must outlive it.
struct ReporterDependencies
{
    connection::link::ILink &link;
    process::membership::IMembership &membership;
    version::state::IPlatformLog &log;
    version::usage::IUsageCounters &usage;
    request::execution::RequestRunner &runner;
    request::step::IStepService *steps = nullptr;
};

//! Tells controllers what this process served and what is asked of it. Not safe for several
//! threads at a time.
class Reporter
{
public:
    //! \a process is "member id#incarnation".
    Reporter(ReporterDependencies dependencies, std::string process);

    //! Runs each second.
    auto tick(base::TimePoint now) -> void;
    //! Sends the usage counters now, for instance at the end of the process.
    auto sendUsage() -> void;

private:
    auto usageTargets() const -> std::vector<std::string>;
    auto sendDemand(base::TimePoint now) -> void;

    ReporterDependencies m_dependencies;
    std::string m_process;
    std::uint64_t m_ticks = 0;
    std::uint64_t m_sentRevision = 0;
    std::vector<std::string> m_sentTo;
    base::TimePoint m_demandSent {};
};

} // namespace nutmegplank::app::gateway
