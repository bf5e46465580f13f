#pragma once

#include <memory>
#include <string>

#include "app/node/batchstore.h"
#include "app/node/callerguard.h"
#include "app/node/callservice.h"
#include "app/node/conductor.h"
#include "app/node/membership.h"
#include "app/node/relay.h"
#include "app/node/streamorigins.h"
#include "connection/http/httpserver.h"
#include "platform/callprotocol.h"
#include "platform/enginecontrol.h"
#include "platform/platformduties.h"
#include "platform/serverprotocol.h"
#include "platform/storeclient.h"
#include "process/runtime/runtime.h"
#include "process/servers/evacuatedzones.h"
#include "process/snapshot/rcucell.h"

namespace nutmegplank::app::node {

//! One machine of the system on the users' platform: serves callers, answers the directory, and
//! takes part in everything that one machine at a time does.
class Node
{
public:
    Node(process::runtime::Runtime &runtime, process::settings::MachineSettings settings);

    //! Starts listening and reading; the error names the address that is taken.
    auto start() -> absl::Status;
    //! Begins the graceful shutdown, which ends the runtime.
    auto terminate() -> void;
    auto reload() -> void;

private:
    auto followOperator() -> void;
    auto applyOperatorRecord(const version::journal::KeyedRecord &record, base::TimePoint now)
        -> void;
    auto applyConfiguration(const version::journal::KeyedRecord &record) -> void;
    auto applyEvacuation(const version::journal::KeyedRecord &record) -> void;
    auto endEvacuations(const std::set<std::string> &keys, std::uint64_t end) -> void;
    auto applyServerRecord(const version::journal::KeyedRecord &record, base::TimePoint now)
        -> void;
    auto isReady() const -> bool;
    auto listen(connection::http::HttpServer &server, const std::string &endpoint) -> absl::Status;
    auto makeServers() -> void;
    //! Detects that this process was paused, e.g. with its machine.
    auto checkPause(base::TimePoint now) -> void;
    auto readConfigurationAgain() -> boost::asio::awaitable<void>;
    auto readOperatorRecords() -> boost::asio::awaitable<void>;
    auto housekeeping() -> boost::asio::awaitable<void>;
    auto refreshServers() -> boost::asio::awaitable<bool>;
    auto waitForQuiet(base::TimePoint earliest, base::TimePoint latest)
        -> boost::asio::awaitable<void>;
    auto shutDown() -> boost::asio::awaitable<void>;
    auto callerLimits() const -> connection::http::ServerLimits;

    process::runtime::Runtime &m_runtime;
    process::settings::MachineSettings m_settings;
    std::string m_incarnation;
    process::metrics::Registry m_metrics;
    process::clock::TrueTime m_trueTime;
    platform::StoreClient m_store;
    platform::ServerProtocol m_serverProtocol;
    platform::CallProtocol m_callProtocol;
    connection::backend::BackendPools m_pools;
    version::leadership::FencedCalls m_fencedCalls;
    platform::EngineControl m_engineControl;
    platform::PlatformDuties m_duties;
    process::servers::ServerTable m_servers;
    process::health::ServerHealth m_health;
    request::rollout::EngineStates m_engines;
    request::forward::PoisonRequestDetector m_suspects;
    process::snapshot::RcuCell<version::routing::RoutingTable> m_routing;
    std::map<std::string, std::uint64_t> m_namedVersions;
    process::servers::EvacuatedZones m_evacuatedZones;
    std::set<std::string> m_badRecords; //!< Already logged, as "key@offset".
    version::journal::KeyedFollower m_operatorFollower;
    version::journal::KeyedFollower m_serverFollower;
    BatchStore m_batches;
    process::memory::HeldAnswers m_heldAnswers;
    process::metrics::Gauge &m_heldAnswerBytes;
    process::metrics::Gauge &m_unreadAnswers;
    Membership m_membership;
    Conductor m_conductor;
    StreamOrigins m_streamOrigins;
    request::forward::Forwarder m_forwarder;
    Relay m_relay;
    request::shutdown::ShutdownGate m_shutdownGate;
    CallService m_calls;
    CallerGuard m_callerGuard;
    std::unique_ptr<connection::http::HttpServer> m_callerServer;
    std::unique_ptr<connection::http::HttpServer> m_directoryServer;
    std::unique_ptr<connection::http::HttpServer> m_readinessServer;
    std::unique_ptr<connection::http::HttpServer> m_metricsServer;
    base::TimePoint m_lastTick {}; //!< Of housekeeping.
    bool m_resuming = false;       //!< Paused a moment ago; the configuration is being read again.
    bool m_readingOperator = false;
    bool m_terminating = false;
};

} // namespace nutmegplank::app::node
