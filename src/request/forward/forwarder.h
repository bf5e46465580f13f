#pragma once

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

#include <boost/asio/io_context.hpp>

#include "connection/backend/backendpools.h"
#include "process/health/serverhealth.h"
#include "process/memory/heldanswers.h"
#include "process/metrics/metrics.h"
#include "process/servers/servertable.h"
#include "request/forward/forwardcall.h"
#include "request/forward/forwardhandle.h"
#include "request/forward/poisonrequestdetector.h"
#include "request/forward/recentlatency.h"
#include "request/forward/requestbytes.h"
#include "request/forward/serverpicker.h"
#include "request/forward/streamversions.h"
#include "request/serverprotocol/iserverprotocol.h"
#include "request/serverprotocol/ownresponse.h"
#include "request/serverprotocol/serverhead.h"
#include "version/routing/routingtable.h"

namespace nutmegplank::request::forward {

//! Receives a streamed answer: begin() once with the head, then write() for each part of the body.
//! An error means that the caller has disconnected. Nothing but a server's own answer can be begun.
class IAnswerSink
{
public:
    virtual ~IAnswerSink() = default;
    virtual auto begin(const serverprotocol::ServerHead &head)
        -> boost::asio::awaitable<absl::Status> = 0;
    virtual auto write(std::string data) -> boost::asio::awaitable<absl::Status> = 0;
};

//! Dependencies of the forwarder; all of them outlive it.
struct ForwarderDependencies
{
    boost::asio::io_context &context;
    process::servers::ServerTable &servers;
    process::health::ServerHealth &health;
    connection::backend::BackendPools &pools;
    const serverprotocol::IServerProtocol &protocol;
    process::metrics::Registry &metrics;
    process::memory::HeldAnswers &heldAnswers;
    PoisonRequestDetector &poisonRequests;
    IStreamOrigins &streamOrigins;
    std::string node;
    std::string zone;
    std::function<version::routing::RoutingTablePtr()> routing;
    std::function<base::TimePoint()> now;
    std::function<std::size_t()> memberCount;
    //! Names of the machines in service.
    std::function<std::vector<std::string>()> memberNames;
    //! Called after each attempt that a server may have run for a request of \a workspace.
    std::function<void(const std::string &workspace)> onAttemptRun;
};

//! Sends callers' requests to backend servers. Idempotent requests are retried up to the number of
//! attempts of their route; all others are run by a server at most once.
class Forwarder
{
public:
    explicit Forwarder(ForwarderDependencies dependencies);

    auto forward(ForwardCall call, std::shared_ptr<ForwardHandle> handle, IAnswerSink &sink)
        -> boost::asio::awaitable<ForwardResult>;

private:
    enum class AttemptOutcome {
        Answered,
        Unreachable,
        NotRun,
        Lost,   //!< Sent, but no complete answer was received.
        NoRoom, //!< Sent, but this process had no room for the answer.
        //! The answer is over the size limit, which says nothing of its server.
        TooLarge,
        SinkGone,
    };

    static constexpr auto ATTEMPT_OUTCOME_NAMES = base::EnumTable<AttemptOutcome, 7> { {
        { AttemptOutcome::Answered, "answered" },
        { AttemptOutcome::Unreachable, "unreachable" },
        { AttemptOutcome::NotRun, "not_run" },
        { AttemptOutcome::Lost, "lost" },
        { AttemptOutcome::NoRoom, "no_room" },
        { AttemptOutcome::TooLarge, "too_large" },
        { AttemptOutcome::SinkGone, "caller_gone" },
    } };

    struct Attempt
    {
        AttemptOutcome end = AttemptOutcome::Lost;
        connection::http::Response response;
        process::memory::HeldBytes held; //!< The bytes of the response's body.
        bool streamed = false;
        bool complete = true;
        //! The connection failed, other than by a timeout, before the end of the answer, so the
        //! server may have crashed.
        bool reset = false;
        bool refused = false;       //!< Nothing listens at the server's address.
        bool faultsRequest = false; //!< The answer says nothing against its server.
        bool skippedOthers = false; //!< Answers to other requests arrived first.
        std::string detail;
    };

    struct Progress
    {
        std::set<std::string> tried; //!< Ids of servers that may have run the request.
        //! Ids of servers that refused the request or were unreachable since the last wait.
        std::set<std::string> unavailable;
        std::uint32_t ran = 0;
        std::uint32_t sent = 0; //!< Attempts that a server may have run.
        bool mayHaveRun = false;
    };

    //! The home of this machine among the servers of a service, for services that need even load.
    struct Home
    {
        std::vector<std::string> servers;
        std::string server;
        base::TimePoint computedAt {};
    };

    //! Whether the load of \a service is to be spread by homes and draws.
    auto spreadsEvenly(const std::string &service, bool isEngine,
                       const std::vector<const process::servers::Server *> &servers) -> bool;
    auto homeOf(const std::string &service, const std::vector<std::string> &servers,
                base::TimePoint now) -> std::string;
    auto chooseServer(const ForwardCall &call, const Progress &progress)
        -> std::optional<process::servers::Server>;
    //! Time until a server of \a call has allowance, if only request limits hold it back; else 0.
    auto waitForAllowance(const ForwardCall &call) -> base::Duration;
    //! Lends the body of \a call to the connection and puts it back.
    auto attempt(ForwardCall &call, const process::servers::Server &server, base::TimePoint until,
                 ForwardHandle &handle, IAnswerSink &sink) -> boost::asio::awaitable<Attempt>;
    auto exchange(const ForwardCall &call, const std::string &serverId,
                  connection::http::IHttpConnection &connection,
                  const connection::http::Request &request, base::TimePoint until,
                  IAnswerSink &sink) -> boost::asio::awaitable<Attempt>;
    auto readAnswer(const ForwardCall &call, connection::http::IHttpConnection &connection,
                    serverprotocol::OwnResponse own, base::TimePoint until, IAnswerSink &sink)
        -> boost::asio::awaitable<Attempt>;
    //! What \a attempt says of the request and of the server's process.
    auto noteCrashEvidence(const std::string &fingerprint, const process::servers::Server &server,
                           const Attempt &attempt, base::TimePoint sentAt) -> void;
    //! Finds out whether the process of a server that broke a connection has ended.
    auto watchProcess(process::servers::Server server) -> boost::asio::awaitable<void>;
    auto attemptDeadline(const ForwardCall &call, const Progress &progress) const
        -> base::TimePoint;
    auto coldStartRule(const std::string &service) const -> process::health::ColdRule;
    auto noteAttempt(const ForwardCall &call, const process::servers::Server &server,
                     const Attempt &attempt, base::TimePoint startedAt, Progress &progress) -> void;

    ForwarderDependencies m_dependencies;
    StreamVersions m_streamVersions;
    RequestBytes m_requestBytes;
    std::unordered_map<std::string, std::uint32_t> m_outstanding; //!< By server id.
    std::unordered_map<std::string, base::Duration> m_latency;    //!< By server id, smoothed.
    std::set<std::string> m_watched; //!< Ids of servers with a watchProcess() under way.
    //! By service; only of answers that were not passed on.
    std::unordered_map<std::string, RecentLatency> m_recentLatency;
    std::unordered_map<std::string, Home> m_homes; //!< By service.
    std::set<std::string> m_evenServices;          //!< Whose load is spread by homes and draws.
    process::metrics::Counter &m_homeChoices;
    process::metrics::Counter &m_drawnChoices;
    process::metrics::Counter &m_attempts;
    process::metrics::Distribution &m_attemptSeconds;
};

} // namespace nutmegplank::request::forward
