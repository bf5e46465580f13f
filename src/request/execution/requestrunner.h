#pragma once

#include <memory>

#include "base/enumtable.h"
#include "connection/link/ilink.h"
#include "process/membership/imembership.h"
#include "process/metrics/metrics.h"
#include "request/execution/demandmeter.h"
#include "request/execution/irequestrunner.h"
#include "request/execution/retrypolicy.h"
#include "request/execution/shardchooser.h"
#include "request/quarantine/quarantine.h"
#include "version/state/iplatformlog.h"

namespace nutmegplank::request::execution {

//! Hedging: sends slow idempotent rollouts to a second backend server as well.
struct HedgeSettings
{
    bool enabled = true;
    //! Counted from when a backend server started the first attempt.
    base::Duration delay = std::chrono::seconds(2);
};

struct RunnerSettings
{
    ShardPolicy shardPolicy = ShardPolicy::LoadAware;
    RetrySettings retries;
    double retryShare = 0.1;  //!< Retries and hedges allowed per request.
    double retryReserve = 50; //!< Largest burst of retries and hedges per service.
    HedgeSettings hedging;
    base::Duration acceptTimeout = std::chrono::milliseconds(1000); //!< From Submit to Accepted.
    base::Duration cancelTimeout = std::chrono::milliseconds(1000); //!< From Cancel to its answer.
};

//! Dependencies of a runner; all must outlive it.
struct RunnerDependencies
{
    connection::link::ILink &link;
    process::membership::IMembership &membership;
    version::state::IPlatformLog &log; //!< Gives the declared services.
    process::metrics::Registry &metrics;
    quarantine::Quarantine &quarantine;
    //! Called for each request that got a response, for instance to count its usage. May be empty.
    std::function<void(const RequestSpec &, const RequestOutcome &)> onAnswered;
};

//! Runs requests by sending attempts to dispatchers. The owner of the link must pass received
//! messages to onMessage() and undelivered ones to onDropped().
class RequestRunner : public IRequestRunner
{
public:
    RequestRunner(RunnerDependencies dependencies, RunnerSettings settings);
    ~RequestRunner() override;

    auto makeCancellation() -> std::shared_ptr<ICancellation> override;
    auto run(RequestSpec spec, RunHooks hooks = {},
             std::shared_ptr<ICancellation> cancellation = {})
        -> boost::asio::awaitable<RequestOutcome> override;

    //! Handles messages about attempts and ignores others.
    auto onMessage(wire::Envelope message) -> void;
    //! Handles a message that never left this process.
    auto onDropped(const wire::Envelope &message) -> void;
    //! Fails the attempts at dispatchers that are dead in \a view.
    auto onMembers(const process::membership::MemberViewPtr &view) -> void;
    //! Returns the demand by service since the previous call.
    auto collectDemand() -> std::vector<ServiceDemand>;
    //! Number of attempts that have not ended.
    auto openAttempts() const -> std::size_t;

private:
    struct Shared;
    std::shared_ptr<Shared> m_shared;
};

} // namespace nutmegplank::request::execution
