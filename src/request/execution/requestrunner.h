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

//! Sends idempotent rollouts that take long to a second backend server as well.
struct HedgeSettings
{
    bool enabled = true;
    base::Duration after = std::chrono::seconds(2); //!< From the start of the first attempt on.
};

struct RunnerSettings
{
    ShardPolicy shardPolicy = ShardPolicy::Aware;
    RetrySettings retries;
    double retryShare = 0.1;  //!< Retries and hedges by requests.
    double retryReserve = 50; //!< Retries that a quiet service may make at once.
    HedgeSettings hedging;
    base::Duration acceptTime = std::chrono::milliseconds(1000); //!< From Submit to Accepted.
    base::Duration cancelTime = std::chrono::milliseconds(1000); //!< From Cancel to its answer.
};

//! What a runner uses; all must outlive it.
struct RunnerDependencies
{
    connection::link::ILink &link;
    process::membership::IMembership &membership;
    version::state::IPlatformLog &log;
    process::metrics::Registry &metrics;
    quarantine::Quarantine &quarantine;
    //! Runs for each request that was answered, for instance to count its usage.
    std::function<void(const RequestSpec &, const RequestOutcome &)> onAnswered;
};

//! Runs requests by attempts at dispatchers. Whoever owns the link hands its messages over.
class RequestRunner : public IRequestRunner
{
public:
    RequestRunner(RunnerDependencies dependencies, RunnerSettings settings);
    ~RequestRunner() override;

    auto makeCancellation() -> std::shared_ptr<ICancellation> override;
    auto run(RequestSpec spec, RunHooks hooks = {},
             std::shared_ptr<ICancellation> cancellation = {})
        -> boost::asio::awaitable<RequestOutcome> override;

    //! Takes messages about attempts; others are ignored.
    auto onMessage(wire::Envelope message) -> void;
    //! Takes a message that never left this process.
    auto onDropped(const wire::Envelope &message) -> void;
    //! Attempts at dispatchers that are dead now are lost.
    auto onMembers(const process::membership::MemberViewPtr &view) -> void;
    //! Demand since the last call, by service.
    auto collectDemand() -> std::vector<ServiceDemand>;
    //! Attempts that have not ended.
    auto openAttempts() const -> std::size_t;

private:
    struct Shared;
    std::shared_ptr<Shared> m_shared;
};

} // namespace nutmegplank::request::execution
