#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>

#include "connection/link/link.pb.h"
#include "process/dispatch/dispatchpolicy.h"
#include "process/inventory/iinventory.h"
#include "process/metrics/metrics.h"
#include "process/shards/shardownership.h"
#include "request/attempt/attempt.h"
#include "request/attempt/attemptindex.h"
#include "request/placement/prefixindex.h"
#include "version/configuration/configuration.h"

namespace nutmegplank::process::dispatch {

class ServerEntry;
struct ServerFault;
struct Rejection;
struct ShardMetrics;

//! What a shard is to know about the world.
struct ShardUpdate
{
    shards::ShardState state = shards::ShardState::NotOwner;
    std::vector<inventory::BackendServer> servers; //!< Of this shard.
    version::configuration::ConfigurationPtr configuration;
};

//! What a shard works with; all outlive it.
struct ShardDependencies
{
    std::function<base::TimePoint()> now;
    std::function<absl::Status(const std::string &peer, wire::Envelope)> send;
    request::attempt::AttemptIndex &index;
    metrics::Registry &metrics;
    std::shared_ptr<memory::ByteBudget> answerBytes; //!< Shared by all shards.
};

//! One shard: its queue, its backend servers and what runs on them. Every call runs on the shard's
//! strand; use executor() to get there.
class ShardWorker : public std::enable_shared_from_this<ShardWorker>
{
public:
    using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;

    ShardWorker(Strand strand, std::string shard, std::string service, DispatchPolicy policy,
                ShardDependencies dependencies);
    ~ShardWorker();

    auto executor() const -> const Strand & { return m_strand; }
    auto submit(wire::Submit submit, std::string replyLink) -> void;
    auto cancel(const std::string &attemptId) -> void;
    //! The gateway at \a replyLink has died: what waits for it is dropped, and what runs is ended
    //! if it may be repeated.
    auto dropFrom(const std::string &replyLink) -> void;
    auto update(ShardUpdate update) -> void;
    auto notice(const wire::ServerNotice &notice) -> void;
    //! Expires, starts what may start now, cuts what is too late. Called several times a second.
    auto tick() -> void;
    //! Ends the watching of servers, at the end of the process.
    auto stop() -> void;
    auto report() const -> wire::ShardReport;
    auto runningCount() const -> std::size_t { return m_running.size(); }
    auto queuedCount() const -> std::size_t { return m_pending.size(); }

private:
    using EntryPtr = std::shared_ptr<ServerEntry>;
    //! A request that was accepted and has not ended.
    struct Pending
    {
        wire::Submit submit;
        std::string replyLink;
        request::queue::QueueItem item;
    };
    struct Running
    {
        Pending pending;
        EntryPtr server;
        std::string bootId; //!< Of the server when it was chosen.
        std::shared_ptr<request::attempt::Attempt> attempt;
    };
    using RunningPtr = std::shared_ptr<Running>;

    auto now() const -> base::TimePoint { return m_dependencies.now(); }
    auto service() const -> const version::configuration::Service *;
    auto isEngine() const -> bool;
    auto checkSubmit(const wire::Submit &submit, const request::queue::QueueItem &item) const
        -> std::optional<Rejection>;
    auto itemOf(const wire::Submit &submit) const -> request::queue::QueueItem;
    auto reject(const wire::Submit &submit, const std::string &replyLink,
                const Rejection &rejection) -> void;
    auto hasServerFor(const wire::Submit &submit) const -> bool;
    auto rejectWithoutServers() -> void;
    auto rejectQueued(const request::queue::QueueItem &item, const Rejection &rejection) -> void;
    auto followState(shards::ShardState state) -> void;
    auto followServers(std::vector<inventory::BackendServer> servers) -> void;
    auto addServer(inventory::BackendServer server) -> void;
    auto removeGoneServers() -> void;
    auto expireQueued() -> void;
    auto cutLate() -> void;
    auto pump() -> void;
    auto startNext() -> bool;
    auto mayRun(wire::Priority priority) const -> bool;
    auto reservedServer(const std::vector<request::placement::Candidate> &candidates)
        -> std::optional<std::size_t>;
    auto start(Pending pending, EntryPtr server) -> void;
    auto specOf(const Pending &pending) const -> request::attempt::AttemptSpec;
    auto hooksOf(const RunningPtr &running) -> request::attempt::AttemptHooks;
    auto runAttempt(RunningPtr running) -> boost::asio::awaitable<void>;
    auto judgeServer(RunningPtr running, request::attempt::AttemptOutcome &outcome)
        -> boost::asio::awaitable<ServerFault>;
    auto sendPart(RunningPtr running, wire::Envelope message)
        -> boost::asio::awaitable<absl::Status>;
    auto finish(const RunningPtr &running, request::attempt::AttemptOutcome outcome,
                const ServerFault &fault) -> void;
    auto cutRunning(const RunningPtr &running, wire::FailureCode code, std::string message) -> void;
    auto cutAllOn(const ServerEntry &server, wire::FailureCode code, const std::string &message)
        -> void;
    auto watchServer(EntryPtr server) -> boost::asio::awaitable<void>;
    auto probeServer(EntryPtr server) -> boost::asio::awaitable<void>;
    auto readCacheEvents(EntryPtr server) -> boost::asio::awaitable<void>;
    auto loadHint() const -> wire::LoadHint;
    auto answer(const std::string &replyLink, wire::Envelope message) -> absl::Status;
    auto showServers() -> void;

    Strand m_strand;
    std::string m_shard;
    std::string m_service;
    DispatchPolicy m_policy;
    ShardDependencies m_dependencies;
    std::unique_ptr<ShardMetrics> m_metrics;
    shards::ShardState m_state = shards::ShardState::NotOwner;
    version::configuration::ConfigurationPtr m_configuration;
    std::unique_ptr<request::queue::IQueue> m_queue;
    request::queue::EarlyRefusal m_earlyRefusal;
    request::placement::PrefixIndex m_prefixes;
    std::unique_ptr<request::placement::IPlacement> m_placement;
    std::unordered_map<std::string, Pending> m_pending;
    std::set<std::string> m_isolated; //!< Waiting attempts that must run alone.
    std::unordered_map<std::string, RunningPtr> m_running;
    std::map<std::string, EntryPtr> m_servers;           //!< By id.
    std::map<std::string, std::uint64_t> m_cacheCursors; //!< Next cache event, by server.
    base::TimePoint m_lastAlive {}; //!< When a server was last seen to be in service.
    bool m_stopped = false;
};

} // namespace nutmegplank::process::dispatch
