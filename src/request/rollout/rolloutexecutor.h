#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "connection/backend/backendpools.h"
#include "process/metrics/metrics.h"
#include "request/rollout/engineloadtracker.h"
#include "request/rollout/openbatches.h"
#include "request/rollout/runsupervisor.h"
#include "request/scoring/scoringrunner.h"
#include "version/batch/batch.h"
#include "version/routing/routingtable.h"

namespace nutmegplank::request::rollout {

//! Dependencies of the executor; all references must outlive it.
struct ExecutorDependencies
{
    boost::asio::io_context &context;
    process::servers::ServerTable &servers;
    process::health::ServerHealth &health;
    connection::backend::BackendPools &pools;
    EngineStates &engines;
    const serverprotocol::IServerProtocol &protocol;
    process::metrics::Registry &metrics;
    std::function<version::routing::RoutingTablePtr()> routing;
    //! The list of servers holds all that was in the log at this time.
    std::function<base::TimePoint()> serversReadAt;
    std::function<void()> readServersNow; //!< Reads the list without the usual pause.
    std::function<base::TimePoint()> now;
    std::function<std::int64_t()> wallClockMs;   //!< Milliseconds since 1970.
    std::size_t recordBytes = 0;                 //!< Of a record of the log.
    std::size_t textBudget = 0;                  //!< Bytes of all texts together.
    std::function<std::size_t()> unwrittenBytes; //!< Of finished items.
    //! Called with each finished item. The caller writes it to the log; it becomes a result of the
    //! batch once it is read back from there.
    std::function<void(const std::string &batch, version::batch::Result result)> onFinished;
    //! The stored text of an item is invalid; \a mark has no events.
    std::function<void(const std::string &batch, version::batch::Progress mark)> onDiscarded;
};

//! Runs and scores the items of all open batches while this process holds the lease. Not
//! thread-safe.
class RolloutExecutor
{
public:
    explicit RolloutExecutor(ExecutorDependencies dependencies);

    auto start() -> void;
    //! Cancels all runs and drops all batches with their unfinished text.
    auto stop(std::string_view reason) -> void;
    auto active() const -> bool { return m_active; }

    //! \a progress holds the text of unfinished items that an earlier lease holder stored.
    auto addBatch(const version::batch::Batch &batch, SubmissionPtr items,
                  const std::vector<version::batch::Progress> &progress) -> void;
    //! The progress of unfinished items by batch id. An item is included only if it has at least
    //! \a minNewEvents events more than when it was last returned, or if its text has been
    //! completed since then.
    auto collectProgress(std::uint32_t minNewEvents)
        -> std::map<std::string, std::vector<version::batch::Progress>>
    {
        return m_batches.collectProgress(minNewEvents);
    }
    auto endBatch(const std::string &batchKey) -> void;
    //! Runs a finished item again whose result the log does not take.
    auto reopenItem(const std::string &batchKey, std::size_t index) -> void;
    //! Runs the next tick immediately, e.g. after a change of a server, a free slot or a version.
    auto wake() -> void;

    //! Expected remaining output tokens of unfinished items, by model.
    auto demand() const -> std::map<std::string, double> { return m_batches.demand(); }
    //! The lowest weight version with which every open batch of \a model can run; 0 if no batch of
    //! it is open.
    auto neededVersion(const std::string &model) const -> std::uint64_t
    {
        return m_batches.neededVersion(model);
    }
    auto runningAt(const std::string &engine) const -> std::uint32_t
    {
        return m_loadTracker.runningAt(engine);
    }

private:
    auto tickLoop() -> boost::asio::awaitable<void>;
    auto tick() -> void;
    auto place() -> void;
    auto discardLargeTexts() -> void;
    auto discardText(OpenBatch &batch, std::size_t index) -> void;
    auto moveToFaster(std::vector<EngineLoad> &engines) -> void;
    auto predictEnd(const OpenBatch &batch, std::size_t index, const EngineLoad &engine) const
        -> base::TimePoint;
    auto noteLength(const OpenBatch &batch, std::size_t index) -> void;
    auto startRun(const ItemKey &key, const EngineLoad &engine) -> void;
    auto runItem(ItemKey key, std::shared_ptr<ItemRun> run, process::servers::Server server)
        -> boost::asio::awaitable<void>;
    auto finishRun(const ItemKey &key, const process::servers::Server &server,
                   const RunOutcome &outcome) -> void;
    auto applyDecision(OpenBatch &batch, std::size_t index, const RunOutcome &outcome) -> void;
    auto scoringDependencies() -> scoring::ScoringDependencies;
    auto startScoring(OpenBatch &batch, std::size_t index) -> void;
    auto applyScore(const scoring::ScoringKey &key, std::string score) -> void;
    auto abandonScoring(const scoring::ScoringKey &key, std::string_view reason) -> void;
    auto finishItem(OpenBatch &batch, std::size_t index, bool lost, std::string_view reason)
        -> void;
    auto abandonExpiredItems() -> void;

    ExecutorDependencies m_dependencies;
    OpenBatches m_batches;
    EngineLoadTracker m_loadTracker;
    RunSupervisor m_supervisor;
    scoring::ScoringRunner m_scoring;
    boost::asio::steady_timer m_timer;
    process::metrics::Counter &m_completed;
    process::metrics::Counter &m_lostItems;
    process::metrics::Counter &m_runs;
    process::metrics::Counter &m_oversized;
    process::metrics::Gauge &m_textBytes;
    process::metrics::Distribution &m_itemSeconds;
    process::metrics::Counter &m_moves;
    process::metrics::Distribution &m_moveGain;
    process::metrics::Distribution &m_predictionError;
    LengthHistory m_lengths;
    base::TimePoint m_movesPlannedAt {};
    bool m_active = false;
    bool m_wakePending = false;
    //! Incremented by each start(), so that a tick loop from before a restart ends.
    std::uint64_t m_generation = 0;
};

} // namespace nutmegplank::request::rollout
