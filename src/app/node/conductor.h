#pragma once

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "app/node/batchstore.h"
#include "app/node/resultwriter.h"
#include "app/node/scalingduty.h"
#include "app/node/usageduty.h"
#include "process/clock/truetime.h"
#include "process/settings/machinesettings.h"
#include "request/rollout/rolloutexecutor.h"
#include "version/leadership/fencedcalls.h"
#include "version/leadership/leadership.h"
#include "version/waves/waverunner.h"

namespace nutmegplank::app::node {

//! What the conductor works with; all of it outlives the conductor.
struct ConductorParts
{
    boost::asio::io_context &context;
    version::journal::IJournal &journal;
    BatchStore &batches;
    process::servers::ServerTable &servers;
    process::health::ServerHealth &health;
    request::rollout::EngineStates &engines;
    connection::backend::BackendPools &pools;
    const request::serverprotocol::IServerProtocol &protocol;
    version::leadership::FencedCalls &fencedCalls;
    version::waves::IEngineControl &engineControl;
    process::capacity::IPlatformDuties &duties;
    process::clock::TrueTime &trueTime;
    process::metrics::Registry &metrics;
    const process::settings::MachineSettings &settings;
    std::string process; //!< Unique name of this incarnation.
    std::function<version::routing::RoutingTablePtr()> routing;
    std::function<std::map<std::string, std::uint64_t>()> namedVersions;
    std::function<base::TimePoint()> serversReadAt; //!< See ExecutorDependencies.
    std::function<void()> readServersNow;
    //! Reads the operator's records as they are now, apart from the reads that follow them.
    std::function<void()> readConfigurationNow;
};

//! Everything that one machine at a time does: runs batches, orders weights and servers, reports
//! usage. All machines take part in the lease; one of them holds it.
class Conductor
{
public:
    explicit Conductor(ConductorParts parts);

    auto start() -> void;
    //! A request of \a workspace has begun to run; empty if it belongs to none.
    auto countRun(const std::string &workspace) -> void { m_usage.countRun(workspace); }
    //! Whether a call under \a fence may be written now, and by when it must have ended.
    auto permitCall(std::uint64_t fence, base::TimePoint now) const
        -> std::optional<version::leadership::CallPermission>;
    //! Whether this machine acts for all at the moment.
    auto isInCharge(base::TimePoint now) const -> bool { return orderFence(now).has_value(); }
    //! Hands the lease back and ends what this machine runs for others. While the log is away
    //! nobody could take over, so that a holder goes on until it is back, or until \a latest.
    auto leave(base::TimePoint latest) -> boost::asio::awaitable<void>;
    //! Servers, versions or routes have changed.
    auto wake() -> void { m_executor.wake(); }

private:
    auto leaseLoop() -> boost::asio::awaitable<void>;
    auto stepLease(base::TimePoint now) -> boost::asio::awaitable<void>;
    auto sendLease(version::leadership::LeaseAction action) -> boost::asio::awaitable<void>;
    auto followLease() -> void;
    auto activate(std::uint64_t fence) -> boost::asio::awaitable<void>;
    auto deactivate(std::string_view reason) -> void;
    auto openBatch(const version::batch::Batch &batch) -> void;
    auto knowsConfigurationOf(const version::batch::Batch &batch) const -> bool;
    auto waitForConfigurationOf(std::string batchKey, std::uint64_t fence)
        -> boost::asio::awaitable<void>;
    auto loadBatch(std::string batchKey, std::uint64_t fence) -> boost::asio::awaitable<void>;
    auto endCalls() -> boost::asio::awaitable<void>;
    auto checkpointLoop() -> boost::asio::awaitable<void>;
    auto waveHooks() -> version::waves::WaveRunnerHooks;
    auto orderableEngines() const -> std::vector<version::waves::OrderableEngine>;
    auto executorDependencies() -> request::rollout::ExecutorDependencies;
    auto orderFence(base::TimePoint now) const -> std::optional<std::uint64_t>;

    ConductorParts m_parts;
    version::leadership::Leadership m_leadership;
    version::journal::Follower m_leaseFollower;
    ResultWriter m_results;
    request::rollout::RolloutExecutor m_executor;
    version::waves::WaveRunner m_waves;
    UsageDuty m_usage;
    ScalingDuty m_scaling;
    std::uint64_t m_activeFence = 0;
    std::uint64_t m_refusedFence = 0; //!< The platform has seen a higher one.
    bool m_activating = false;
    bool m_sendingLease = false;
    base::TimePoint m_leaseSentAt {};
    bool m_departing = false; //!< Takes over nothing new.
    bool m_leaving = false;
    bool m_handingOver = false; //!< Makes no calls any more that need the lease.
    process::metrics::Gauge &m_inCharge;
};

} // namespace nutmegplank::app::node
