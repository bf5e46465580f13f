#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "connection/backend/backendpools.h"
#include "process/health/serverhealth.h"
#include "process/metrics/metrics.h"
#include "process/servers/servertable.h"
#include "request/scoring/scoringcall.h"
#include "request/scoring/scoringplacement.h"
#include "version/routing/routingtable.h"

namespace nutmegplank::request::scoring {

//! Identifies an item of an open batch.
struct ScoringKey
{
    std::string batch;
    std::size_t item = 0; //!< Index in the submission.

    auto operator<(const ScoringKey &other) const -> bool
    {
        return std::tie(batch, item) < std::tie(other.batch, other.item);
    }
};

//! An item whose text is complete.
struct ScoringJob
{
    version::batch::Scorer scorer;
    std::string itemId;       //!< For logs.
    base::TimePoint dueAt {}; //!< Deadline of the item's batch.
};

//! Dependencies of the runner; all references must outlive it.
struct ScoringDependencies
{
    boost::asio::io_context &context;
    process::servers::ServerTable &servers;
    process::health::ServerHealth &health;
    connection::backend::BackendPools &pools;
    const serverprotocol::IServerProtocol &protocol;
    process::metrics::Registry &metrics;
    std::function<base::TimePoint()> now;
    //! Items of the group of an item that have no result yet, that item included.
    std::function<std::uint32_t(const ScoringKey &)> unfinishedInGroup;
    std::function<void(const ScoringKey &, std::string score)> onScored;
    //! The scorer has reported as many internal errors as its route allows.
    std::function<void(const ScoringKey &, std::string_view reason)> onLost;
    //! Called when calls are waiting and a slot has become free.
    std::function<void()> requestDispatch;
};

//! Requests the scores of finished texts. Not thread-safe.
class ScoringRunner
{
public:
    explicit ScoringRunner(ScoringDependencies dependencies);

    //! Queues \a job; dispatch() starts its call. Does nothing if the item is already queued.
    auto add(const ScoringKey &key, ScoringJob job) -> void;
    //! Starts the calls that are due and for which a server has a free slot.
    auto dispatch(const version::routing::RoutingTable &table) -> void;
    //! Cancels the item's call, if any; its hooks are not called.
    auto cancel(const ScoringKey &key) -> void;
    auto cancelBatch(const std::string &batch) -> void;
    auto cancelAll() -> void;

private:
    struct Entry
    {
        ScoringJob job;
        CallFailures failures;
        std::shared_ptr<ScoringCall> call; //!< Null while waiting.
        std::string server;                //!< Runs the call, or ran the last one.
        std::string avoidedServer;
        base::TimePoint notBefore {}; //!< Earliest start of the next call.
        base::TimePoint queuedAt {};
        base::TimePoint startedAt {};
        std::uint32_t maxAttempts = 1; //!< Of the route when the call started.
    };

    using Entries = std::map<ScoringKey, Entry>;

    //! What this process knows of a server from its calls.
    struct ServerState
    {
        std::uint32_t running = 0;
        base::Duration latency { 0 }; //!< Smoothed; 0 before the first response.
        base::TimePoint answeredAt {};
        process::health::ColdRule coldRule;
    };

    auto erase(Entries::iterator entry) -> Entries::iterator;
    auto collectServers(const version::routing::RoutingTable &table,
                        const std::vector<WaitingCall> &waiting) const
        -> std::vector<ScoringServer>;
    auto start(const ScoringKey &key, Entry &entry, const ScoringServer &server,
               const version::routing::RoutingTable &table) -> void;
    auto runCall(ScoringKey key, std::shared_ptr<ScoringCall> call, process::servers::Server server)
        -> boost::asio::awaitable<void>;
    auto noteServer(const std::string &server, const CallOutcome &outcome,
                    const process::health::RequestSize &size, base::TimePoint startedAt) -> void;
    auto finishCall(Entries::iterator found, const CallOutcome &outcome) -> void;

    ScoringDependencies m_dependencies;
    Entries m_entries;
    std::map<std::string, ServerState> m_serverStates; //!< By server id.
    process::metrics::Counter &m_calls;
    process::metrics::Counter &m_scored;
    process::metrics::Distribution &m_scoringSeconds;
};

} // namespace nutmegplank::request::scoring
