#pragma once

#include "app/gateway/callerhandler.h"
#include "app/gateway/gatewaysettings.h"
#include "app/gateway/reporter.h"
#include "app/gateway/shutdownplan.h"

namespace nutmegplank::app::gateway {

using StepFactory = std::function<std::unique_ptr<request::step::IStepService>(
    request::execution::IRequestRunner &)>;

//! What a gateway is built on; all must outlive it.
struct GatewayDependencies
{
    boost::asio::io_context &context;
    connection::link::ILink &link;
    process::membership::IMembership &membership;
    version::state::IPlatformLog &log;
    process::metrics::Registry &metrics;
    version::usage::IUsageCounters &usage;
    std::uint64_t incarnation = 0;
    StepFactory makeSteps; //!< Empty: steps are refused.
};

//! The gateway's parts, wired together.
class Gateway
{
public:
    Gateway(GatewayDependencies dependencies, const GatewaySettings &settings);

    //! Takes over the link's and the membership's handlers and begins periodic work.
    auto start() -> void;

    auto handle(connection::http::Request request, connection::http::IHttpResponder &responder)
        -> boost::asio::awaitable<void>;

    //! Leaves gracefully; \a server is drained in time, and \a onFinished runs at the end.
    auto shutDown(connection::http::HttpServer &server, std::function<void()> onFinished) -> void;

private:
    auto onMembers(const process::membership::MemberViewPtr &view) -> void;
    auto onMessage(wire::Envelope message) -> void;
    auto announce(const wire::Quarantine &message) -> void;
    auto watch() -> boost::asio::awaitable<void>;
    //! Whether the first state of the log that this process saw was an empty one.
    auto lookForBirth() -> boost::asio::awaitable<void>;
    auto cutKeys(base::TimePoint now) -> void;
    auto cutWithdrawn(const version::state::LogState &state) -> void;
    auto finish(connection::http::HttpServer &server, std::function<void()> onFinished)
        -> boost::asio::awaitable<void>;

    GatewayDependencies m_dependencies;
    request::quarantine::Quarantine m_quarantine;
    request::execution::RequestRunner m_runner;
    std::unique_ptr<request::step::IStepService> m_steps;
    request::execution::KeyedRuns m_runs;
    request::freshness::FreshnessGate m_freshness;
    CallerMetrics m_callerMetrics;
    request::idempotency::IdempotencyService m_idempotency;
    Forwarder m_forwarder;
    CallerHandler m_handler;
    Reporter m_reporter;
    ShutdownPlan m_shutdown;
    std::set<std::string> m_cutKeys; //!< Withdrawn keys whose steps were ended; log's strand only.
};

} // namespace nutmegplank::app::gateway
