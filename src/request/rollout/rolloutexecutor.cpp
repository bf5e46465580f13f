#include "request/rollout/rolloutexecutor.h"

#include <limits>

#include <boost/asio.hpp>

#include "process/logging/logging.h"
#include "process/logging/taskfailure.h"
#include "request/rollout/finishestimate.h"
#include "request/rollout/finishplan.h"
#include "request/rollout/itemrequest.h"
#include "request/rollout/moveplan.h"
#include "request/rollout/placementlog.h"
#include "request/rollout/strandedtexts.h"
#include "request/rollout/textlimit.h"
#include "request/rollout/textpressure.h"

namespace nutmegplank::request::rollout {

namespace {

namespace asio = boost::asio;
namespace logging = process::logging;
using process::servers::Server;
using version::batch::Batch;

constexpr auto USE_TUPLE = asio::as_tuple(asio::use_awaitable);
constexpr auto TICK_INTERVAL = std::chrono::milliseconds(60);

} // namespace

RolloutExecutor::RolloutExecutor(ExecutorDependencies dependencies)
    : m_dependencies(std::move(dependencies))
    , m_loadTracker(m_dependencies.servers, m_dependencies.health, m_dependencies.engines)
    , m_supervisor(m_batches, m_dependencies.servers, m_dependencies.engines, m_loadTracker)
    , m_scoring(scoringDependencies())
    , m_timer(m_dependencies.context)
    , m_completed(m_dependencies.metrics.counter("nutmegplank_items_total", "Items finished.",
                                                 { { "outcome", "completed" } }))
    , m_lostItems(m_dependencies.metrics.counter("nutmegplank_items_total", "Items finished.",
                                                 { { "outcome", "lost" } }))
    , m_runs(m_dependencies.metrics.counter("nutmegplank_item_runs_total",
                                            "Runs of items at engines."))
    , m_oversized(m_dependencies.metrics.counter(
          "nutmegplank_oversized_texts_total",
          "Texts of items discarded since they were larger than allowed or than memory permits."))
    , m_textBytes(m_dependencies.metrics.gauge("nutmegplank_item_text_bytes",
                                               "Texts of unfinished and unwritten items."))
    , m_itemSeconds(m_dependencies.metrics.distribution("nutmegplank_item_run_seconds",
                                                        "Duration of complete runs of items."))
    , m_moves(m_dependencies.metrics.counter("nutmegplank_item_moves_total",
                                             "Runs ended to go on at a faster engine."))
    , m_moveGain(m_dependencies.metrics.distribution("nutmegplank_item_move_gain_seconds",
                                                     "Predicted gain of moves of runs."))
    , m_predictionError(m_dependencies.metrics.distribution(
          "nutmegplank_item_end_error_seconds",
          "Difference of the real end of complete runs from the predicted one."))
{ }

auto RolloutExecutor::start() -> void
{
    if (m_active)
        return;
    m_active = true;
    ++m_generation;
    asio::co_spawn(m_dependencies.context, tickLoop(), logging::LogTaskFailure("rollout.tick"));
}

auto RolloutExecutor::stop(std::string_view reason) -> void
{
    if (!m_active)
        return;
    m_active = false;
    auto cancelledRuns = std::size_t(0);
    for (auto &[id, batch] : m_batches.all()) {
        for (auto &item : batch.items) {
            if (item.run == nullptr)
                continue;
            item.run->cancel(RunEnd::Cancelled, "this process no longer holds the lease");
            ++cancelledRuns;
        }
    }
    logging::info(
        "rollout.stopped",
        { { "reason", reason }, { "runs", cancelledRuns }, { "batches", m_batches.all().size() } });
    m_scoring.cancelAll();
    m_batches.clear();
    m_timer.cancel();
}

auto RolloutExecutor::wake() -> void
{
    m_wakePending = true;
    m_timer.cancel();
}

auto RolloutExecutor::tickLoop() -> asio::awaitable<void>
{
    const auto generation = m_generation;
    while (m_active && generation == m_generation) {
        tick();
        if (!std::exchange(m_wakePending, false)) {
            m_timer.expires_after(m_batches.all().empty() ? TICK_INTERVAL * 4 : TICK_INTERVAL);
            co_await m_timer.async_wait(USE_TUPLE);
        } else {
            co_await asio::post(m_dependencies.context, asio::use_awaitable);
        }
        m_wakePending = false;
    }
}

auto RolloutExecutor::tick() -> void
{
    const auto table = m_dependencies.routing();
    if (table == nullptr || m_batches.all().empty())
        return;
    m_loadTracker.setTable(table);
    for (auto &[id, batch] : m_batches.all())
        resolveRoutes(batch, table);
    m_dependencies.engines.updateMedian();
    m_dependencies.engines.speeds().update(m_dependencies.now());
    abandonExpiredItems();
    m_supervisor.endFailedRuns(m_dependencies.now());
    discardLargeTexts();
    place();
    m_scoring.dispatch(*table);
}

auto RolloutExecutor::addBatch(const Batch &batch, SubmissionPtr items,
                               const std::vector<version::batch::Progress> &progress) -> void
{
    const auto &head = batch.head;
    if (!m_active || !batch.open() || m_batches.all().contains(head.key()))
        return;
    const auto table = m_dependencies.routing();
    const auto *route = table == nullptr ? nullptr : table->findRoute(head.host, head.path);
    const auto defaultRoute = version::routing::Route();
    const auto &routeSettings = route == nullptr ? defaultRoute : *route;
    auto openBatch = OpenBatch();
    openBatch.key = head.key();
    openBatch.submission = std::move(items);
    const auto age = std::chrono::milliseconds(m_dependencies.wallClockMs() - head.submittedMs);
    openBatch.dueAt = m_dependencies.now() + routeSettings.resultDeadline - age;
    openBatch.expiresAtMs = head.submittedMs + base::toMilliseconds(routeSettings.retention);
    for (auto index = std::size_t(0); index < batch.itemCount(); ++index) {
        auto &item = openBatch.items.emplace_back();
        item.waitingSince = m_dependencies.now();
        const auto &source = openBatch.submission->items[index];
        item.transcript = std::make_shared<Transcript>(
            TranscriptRules { head.minVersion, routeSettings.singleVersion },
            textLimitOf({ source.tokens, source.promptTokens, m_dependencies.recordBytes, head.id,
                          source.id }));
        // The log already has a result of the item.
        if (batch.listed[index])
            item.state = ItemState::Done;
    }
    resolveRoutes(openBatch, table);
    const auto added = m_batches.add(std::move(openBatch), progress, m_dependencies.now());
    logging::info("rollout.batch_opened",
                  { { "batch", head.id },
                    { "workspace", head.owner.workspace },
                    { "model", head.model },
                    { "step", head.step },
                    { "min_version", head.minVersion },
                    { "items", batch.itemCount() },
                    { "listed", batch.listedCount },
                    { "resumed", added.resumed },
                    { "carried", added.carried },
                    { "age_ms", age.count() } });
    for (auto index = std::size_t(0); index < added.batch.items.size(); ++index) {
        if (added.batch.items[index].state == ItemState::Scoring)
            startScoring(added.batch, index);
    }
    wake();
}

auto RolloutExecutor::endBatch(const std::string &batchKey) -> void
{
    const auto found = m_batches.all().find(batchKey);
    if (found == m_batches.all().end())
        return;
    auto running = std::size_t(0);
    auto waiting = std::size_t(0);
    for (auto &item : found->second.items) {
        if (item.state == ItemState::Waiting)
            ++waiting;
        if (item.run == nullptr)
            continue;
        item.run->cancel(RunEnd::Cancelled, "batch was closed");
        ++running;
    }
    logging::info(
        "rollout.batch_closed",
        { { "batch", version::batch::idOf(batchKey) },
          { "running", running },
          { "waiting", waiting },
          { "late_ms", base::toMilliseconds(m_dependencies.now() - found->second.dueAt) } });
    m_scoring.cancelBatch(batchKey);
    m_batches.remove(batchKey, m_dependencies.now());
    wake();
}

auto RolloutExecutor::abandonExpiredItems() -> void
{
    const auto wallClockMs = m_dependencies.wallClockMs();
    for (auto &[id, batch] : m_batches.all()) {
        const auto expired = wallClockMs >= batch.expiresAtMs;
        for (auto index = std::size_t(0); index < batch.items.size(); ++index) {
            const auto state = batch.items[index].state;
            if (state != ItemState::Waiting && state != ItemState::Scoring)
                continue;
            if (expired)
                finishItem(batch, index, true, "retention time of the route has expired");
            else if (batch.items[index].route == nullptr)
                finishItem(batch, index, true, "route was removed from the configuration");
        }
    }
}

auto RolloutExecutor::place() -> void
{
    auto engines = m_loadTracker.loads(m_dependencies.serversReadAt(), m_dependencies.now());
    discardStrandedTexts(m_batches, engines, m_dependencies.now());
    auto waiting = std::vector<WaitingItem>();
    auto keys = std::vector<ItemKey>();
    const auto mayStart = mayStartRuns(m_dependencies.unwrittenBytes(), m_dependencies.textBudget);
    if (mayStart)
        m_batches.collectWaiting(waiting, keys, m_dependencies.now());
    const auto byFinish = m_dependencies.engines.speeds().hasKinds();
    const auto anySlow = std::ranges::any_of(engines, isSlow);
    if (waiting.empty() && !anySlow && !byFinish)
        return;
    m_batches.reserveRunning(engines);
    for (auto &item : waiting) {
        const auto &key = keys[item.handle];
        if (byFinish)
            item.remainingEvents =
                cautiousRemainingEvents(m_lengths, m_batches.all().at(key.batch), key.item);
    }
    const auto assignments = byFinish
        ? placeByFinish(std::move(waiting), engines, m_dependencies.now())
        : placeItems(std::move(waiting), engines);
    for (const auto &assignment : assignments)
        startRun(keys[assignment.handle], engines[assignment.engine]);
    if (assignments.size() < keys.size())
        m_loadTracker.noteHeldBack(engines, m_dependencies.now());
    // A moved run could not start again.
    if (!mayStart)
        return;
    if (byFinish)
        moveToFaster(engines);
    else if (anySlow)
        m_supervisor.moveRuns(engines, m_dependencies.now());
}

auto RolloutExecutor::moveToFaster(std::vector<EngineLoad> &engines) -> void
{
    // Rounds after the end of a run may follow each other closely; moves look at all runs.
    if (m_dependencies.now() - m_movesPlannedAt < TICK_INTERVAL)
        return;
    m_movesPlannedAt = m_dependencies.now();
    for (const auto &move : m_supervisor.moveToFaster(engines, m_lengths, m_dependencies.now())) {
        m_moves.add();
        m_moveGain.record(move.endHere - move.endAtTarget);
        const auto &batch = m_batches.all().at(move.key.batch);
        logging::info("rollout.moved",
                      { { "batch", batch.submission->head.id },
                        { "item", batch.submission->items[move.key.item].id },
                        { "from", move.from },
                        { "to", move.to },
                        { "events", batch.items[move.key.item].transcript->eventCount() },
                        { "end_here_ms", base::toMilliseconds(move.endHere) },
                        { "end_there_ms", base::toMilliseconds(move.endAtTarget) },
                        { "due_ms", base::toMilliseconds(batch.dueAt - m_dependencies.now()) } });
    }
}

auto RolloutExecutor::predictEnd(const OpenBatch &batch, std::size_t index,
                                 const EngineLoad &engine) const -> base::TimePoint
{
    if (engine.eventSeconds <= 0)
        return {};
    auto item = WaitingItem();
    item.remainingEvents = cautiousRemainingEvents(m_lengths, batch, index);
    return m_dependencies.now() + FinishEstimate::afterStart(item, engine);
}

auto RolloutExecutor::startRun(const ItemKey &key, const EngineLoad &engine) -> void
{
    auto &batch = m_batches.all().at(key.batch);
    auto &item = batch.items[key.item];
    const auto *server = m_dependencies.servers.find(engine.id);
    if (server == nullptr || item.route == nullptr)
        return;
    const auto size = requestSize(batch, key.item);
    item.run = std::make_shared<ItemRun>(
        buildItemRequest(batch, key.item, engine, m_dependencies.protocol,
                         m_dependencies.wallClockMs()),
        batch.submission->items[key.item].id, size, item.transcript, m_dependencies.protocol,
        engine.confirmedSoftware(),
        m_loadTracker.headObserver(engine.id, size, m_dependencies.now()));
    item.state = ItemState::Running;
    item.engine = engine.id;
    item.engineIncarnation = server->record.incarnation;
    item.sampledEvents = 0;
    item.predictedEnd = predictEnd(batch, key.item, engine);
    logPlacement(batch, key.item, engine, m_dependencies.now() - server->heardAt,
                 m_dependencies.now());
    m_loadTracker.noteStart(engine.id, m_dependencies.now());
    m_runs.add();
    asio::co_spawn(m_dependencies.context, runItem(key, item.run, *server),
                   logging::LogTaskFailure("rollout.run"));
}

auto RolloutExecutor::runItem(ItemKey key, std::shared_ptr<ItemRun> run, Server server)
    -> asio::awaitable<void>
{
    const auto outcome =
        co_await run->run(m_dependencies.pools.pool(server.record.id, server.record.endpoint));
    m_loadTracker.noteEnd(server.record.id);
    const auto found = m_batches.all().find(key.batch);
    if (found == m_batches.all().end() || found->second.items[key.item].run != run)
        co_return;
    if (outcome.end == RunEnd::Completed) {
        m_itemSeconds.record(m_dependencies.now() - run->startedAt());
        noteLength(found->second, key.item);
    }
    finishRun(key, server, outcome);
    wake();
}

auto RolloutExecutor::noteLength(const OpenBatch &batch, std::size_t index) -> void
{
    const auto &item = batch.items[index];
    if (item.route != nullptr)
        m_lengths.noteLength(item.route->name, hintEvents(batch, index),
                             item.transcript->eventCount());
    if (item.predictedEnd != base::TimePoint())
        m_predictionError.record(std::chrono::abs(m_dependencies.now() - item.predictedEnd));
}

auto RolloutExecutor::finishRun(const ItemKey &key, const Server &server, const RunOutcome &outcome)
    -> void
{
    auto &batch = m_batches.all().at(key.batch);
    auto &item = batch.items[key.item];
    if (outcome.weightVersion.has_value())
        m_dependencies.engines.noteVersion(server.record.id, server.record.incarnation,
                                           batch.submission->head.model, *outcome.weightVersion);
    m_loadTracker.noteOutcome(server, *item.run, outcome.end, m_dependencies.now());
    logging::info(
        "rollout.run_ended",
        { { "batch", version::batch::idOf(key.batch) },
          { "item", batch.submission->items[key.item].id },
          { "server", server.record.id },
          { "end", base::nameOf(RUN_END_NAMES, outcome.end) },
          { "status", outcome.status },
          { "detail", outcome.detail },
          { "events", item.transcript->eventCount() },
          { "ran_ms", base::toMilliseconds(m_dependencies.now() - item.run->startedAt()) } });
    auto judged = outcome;
    const auto *current = m_dependencies.servers.find(server.record.id);
    const auto changed = current != nullptr && current->record.software != server.record.software;
    if (changed && mayHoldOtherSoftware(item, outcome.end)) {
        judged.end = RunEnd::Malformed;
        logging::warning("rollout.software_changed",
                         { { "batch", version::batch::idOf(key.batch) },
                           { "item", batch.submission->items[key.item].id },
                           { "server", server.record.id },
                           { "software", server.record.software } });
    }
    item.run.reset();
    item.state = ItemState::Waiting;
    item.waitingSince = m_dependencies.now();
    applyDecision(batch, key.item, judged);
    if (item.state == ItemState::Waiting && !item.transcript->empty())
        m_dependencies.readServersNow();
}

auto RolloutExecutor::applyDecision(OpenBatch &batch, std::size_t index, const RunOutcome &outcome)
    -> void
{
    auto &item = batch.items[index];
    const auto attemptLimit =
        item.route == nullptr ? std::numeric_limits<std::uint32_t>::max() : item.route->maxAttempts;
    const auto decision = decideNextStep(outcome.end, attemptLimit, item.failureCounts);
    if (decision.step == NextStep::FinishCompleted
        && batch.submission->items[index].scorer.has_value()) {
        startScoring(batch, index);
        return;
    }
    if (decision.step != NextStep::Retry) {
        finishItem(batch, index, decision.step == NextStep::FinishLost, decision.reason);
        return;
    }
    item.notBefore = m_dependencies.now() + decision.retryDelay;
    if (decision.avoidEngine)
        item.avoidedEngine = item.engine;
    if (outcome.end == RunEnd::Oversized)
        m_oversized.add();
    if (decision.discardText)
        discardText(batch, index);
}

//! What was stored of the text must not be resumed by the next lease holder.
auto RolloutExecutor::discardText(OpenBatch &batch, std::size_t index) -> void
{
    auto &item = batch.items[index];
    item.transcript->reset();
    if (item.state == ItemState::Scoring)
        item.state = ItemState::Waiting;
    if (item.savedEvents > 0)
        m_dependencies.onDiscarded(batch.key, progressOf(batch, index));
    item.savedEvents = 0;
    item.savedComplete = false;
}

//! Keeps the texts within the memory that they may take.
auto RolloutExecutor::discardLargeTexts() -> void
{
    auto texts = std::vector<HeldText>();
    auto keys = std::vector<ItemKey>();
    const auto unwritten = m_dependencies.unwrittenBytes();
    auto total = unwritten;
    for (const auto &[id, batch] : m_batches.all()) {
        for (auto index = std::size_t(0); index < batch.items.size(); ++index) {
            const auto &item = batch.items[index];
            const auto bytes = item.transcript->text().size();
            if (item.state == ItemState::Done || bytes == 0)
                continue;
            total += bytes;
            texts.push_back({ keys.size(), bytes, item.state == ItemState::Scoring });
            keys.push_back({ id, index });
        }
    }
    m_textBytes.set(static_cast<double>(total));
    const auto budget = m_dependencies.textBudget > unwritten
        ? m_dependencies.textBudget - unwritten
        : std::size_t(0);
    for (const auto handle : chooseTextsToDiscard(std::move(texts), budget)) {
        auto &batch = m_batches.all().at(keys[handle].batch);
        auto &item = batch.items[keys[handle].item];
        logging::warning("rollout.text_over_budget",
                         { { "batch", batch.submission->head.id },
                           { "item", batch.submission->items[keys[handle].item].id },
                           { "bytes", item.transcript->text().size() },
                           { "all_bytes", total },
                           { "budget", m_dependencies.textBudget } });
        // Its run appends to the transcript until it has ended, which discards the text.
        if (item.run != nullptr) {
            item.run->cancel(RunEnd::Oversized, "texts exceed their memory");
            continue;
        }
        m_oversized.add();
        discardText(batch, keys[handle].item);
    }
}

auto RolloutExecutor::reopenItem(const std::string &batchKey, std::size_t index) -> void
{
    const auto found = m_batches.all().find(batchKey);
    if (!m_active || found == m_batches.all().end())
        return;
    auto &batch = found->second;
    auto &item = batch.items.at(index);
    if (item.state != ItemState::Done)
        return;
    const auto decision = decideNextStep(
        RunEnd::Oversized, std::numeric_limits<std::uint32_t>::max(), item.failureCounts);
    ++batch.unfinishedInGroup[item.group];
    item.state = ItemState::Waiting;
    item.waitingSince = m_dependencies.now();
    item.notBefore = m_dependencies.now() + decision.retryDelay;
    item.avoidedEngine = item.engine;
    item.score.clear();
    discardText(batch, index);
    logging::warning("rollout.item_reopened",
                     { { "batch", version::batch::idOf(batchKey) },
                       { "item", batch.submission->items[index].id } });
}

auto RolloutExecutor::scoringDependencies() -> scoring::ScoringDependencies
{
    return { m_dependencies.context,
             m_dependencies.servers,
             m_dependencies.health,
             m_dependencies.pools,
             m_dependencies.protocol,
             m_dependencies.metrics,
             m_dependencies.now,
             [this](const scoring::ScoringKey &key) {
                 const auto &batch = m_batches.all().at(key.batch);
                 return batch.unfinishedInGroup[batch.items[key.item].group];
             },
             [this](const scoring::ScoringKey &key, std::string score) {
                 applyScore(key, std::move(score));
             },
             [this](const scoring::ScoringKey &key, std::string_view reason) {
                 abandonScoring(key, reason);
             },
             [this] { wake(); } };
}

auto RolloutExecutor::startScoring(OpenBatch &batch, std::size_t index) -> void
{
    const auto &source = batch.submission->items[index];
    batch.items[index].state = ItemState::Scoring;
    m_scoring.add({ batch.key, index }, { *source.scorer, source.id, batch.dueAt });
}

auto RolloutExecutor::applyScore(const scoring::ScoringKey &key, std::string score) -> void
{
    auto &batch = m_batches.all().at(key.batch);
    batch.items[key.item].score = std::move(score);
    finishItem(batch, key.item, false, "scored");
}

auto RolloutExecutor::abandonScoring(const scoring::ScoringKey &key, std::string_view reason)
    -> void
{
    finishItem(m_batches.all().at(key.batch), key.item, true, reason);
}

auto RolloutExecutor::finishItem(OpenBatch &batch, std::size_t index, bool lost,
                                 std::string_view reason) -> void
{
    auto &item = batch.items[index];
    m_scoring.cancel({ batch.key, index });
    item.state = ItemState::Done;
    --batch.unfinishedInGroup[item.group];
    auto result = version::batch::Result();
    result.item = static_cast<std::uint32_t>(index);
    result.itemId = batch.submission->items[index].id;
    result.lost = lost;
    if (!lost) {
        result.text = item.transcript->text();
        result.versions = item.transcript->versions();
        result.score = std::move(item.score);
    }
    (lost ? m_lostItems : m_completed).add();
    if (lost)
        logging::warning("rollout.item_lost",
                         { { "batch", batch.submission->head.id },
                           { "item", batch.submission->items[index].id },
                           { "reason", reason },
                           { "failures", item.failureCounts.engineFailures },
                           { "connection_losses", item.failureCounts.connectionLosses } });
    m_dependencies.onFinished(batch.key, std::move(result));
    item.transcript->reset();
}

} // namespace nutmegplank::request::rollout
