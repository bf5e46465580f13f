#include "request/rollout/rolloutexecutor.h"

#include <boost/asio.hpp>

#include "process/logging/logging.h"

namespace nutmegplank::request::rollout {

namespace {

namespace asio = boost::asio;
namespace logging = process::logging;
using process::health::ColdRule;
using process::servers::Server;
using version::batch::Batch;

constexpr auto USE_TUPLE = asio::as_tuple(asio::use_awaitable);
constexpr auto TICK = std::chrono::milliseconds(60);
//! An engine that sends nothing for this long is taken for lost; its events come every 30 to 200
//! ms, the longest of them under a load of four times the usual.
constexpr auto SILENCE = std::chrono::milliseconds(1300);
//! The same while it loads weights, during which nothing comes; a load takes 0.9 s and more.
constexpr auto SILENCE_WHILE_LOADING = std::chrono::milliseconds(3500);
//! Share of what a cold server bears that items may take; the rest is for a former holder whose
//! last requests are still on their way.
constexpr auto COLD_SHARE = 0.6;
//! An engine slower than this, compared with the median one, loses its long items to others.
constexpr auto SLOW_PACE = 2.0;
constexpr auto FAST_PACE = 1.4;
//! Items that need at least this many more tokens are worth moving.
constexpr auto MOVE_TOKENS = 400U;
//! A run is moved only after this long: its engine may just have been placed full.
constexpr auto LEAST_RUN = std::chrono::milliseconds(250);
//! Events between two measurements of an engine's pace.
constexpr auto PACE_EVENTS = 3U;
//! First pause of an item whose engine was lost; four times longer with each further loss, since
//! the item itself may be the cause.
constexpr auto LOSS_PAUSE = std::chrono::milliseconds(20);
constexpr auto LONGEST_LOSS_PAUSE = std::chrono::seconds(4);
constexpr auto REFUSED_PAUSE = std::chrono::milliseconds(40);
constexpr auto FAILED_PAUSE = std::chrono::milliseconds(30);
constexpr auto MAX_LOSS_SHIFTS = 5U;
//! Expected output when the caller gives no estimate.
constexpr auto DEFAULT_OUTPUT = std::uint64_t(256);
//! Urgency of items by what they still need: the longest are admitted first and preempted last.
constexpr auto LONG_OUTPUT = std::uint64_t(1500);
constexpr auto LONG_URGENCY = 2U;
constexpr auto USUAL_URGENCY = 5U;

} // namespace

RolloutExecutor::RolloutExecutor(ExecutorParts parts)
    : m_parts(std::move(parts))
    , m_timer(m_parts.context)
    , m_completed(m_parts.metrics.counter("nutmegplank_items_total", "Items finished.",
                                          { { "outcome", "completed" } }))
    , m_lostItems(m_parts.metrics.counter("nutmegplank_items_total", "Items finished.",
                                          { { "outcome", "lost" } }))
    , m_runs(m_parts.metrics.counter("nutmegplank_item_runs_total", "Runs of items at engines."))
    , m_itemSeconds(m_parts.metrics.distribution("nutmegplank_item_run_seconds",
                                                 "Duration of complete runs of items."))
{ }

auto RolloutExecutor::start() -> void
{
    if (m_active)
        return;
    m_active = true;
    ++m_generation;
    asio::co_spawn(m_parts.context, tickLoop(), asio::detached);
}

auto RolloutExecutor::stop(std::string_view reason) -> void
{
    if (!m_active)
        return;
    m_active = false;
    auto dropped = std::size_t(0);
    for (auto &[id, batch] : m_batches) {
        for (auto &item : batch.items) {
            if (item.run == nullptr)
                continue;
            item.run->cancel(RunEnd::Cancelled, "this process is no longer in charge");
            ++dropped;
        }
    }
    logging::info("rollout.stopped",
                  { { "reason", reason }, { "runs", dropped }, { "batches", m_batches.size() } });
    m_batches.clear();
    m_timer.cancel();
}

auto RolloutExecutor::wake() -> void
{
    m_woken = true;
    m_timer.cancel();
}

auto RolloutExecutor::tickLoop() -> asio::awaitable<void>
{
    const auto generation = m_generation;
    while (m_active && generation == m_generation) {
        tick();
        if (!std::exchange(m_woken, false)) {
            m_timer.expires_after(m_batches.empty() ? TICK * 4 : TICK);
            co_await m_timer.async_wait(USE_TUPLE);
        } else {
            co_await asio::post(m_parts.context, asio::use_awaitable);
        }
        m_woken = false;
    }
}

auto RolloutExecutor::tick() -> void
{
    m_table = m_parts.routing();
    if (m_table == nullptr || m_batches.empty())
        return;
    giveUpExpired();
    watchRuns();
    place();
}

auto RolloutExecutor::routeOf(const BatchWork &batch, std::size_t index) const
    -> const version::routing::Route *
{
    const auto &submission = *batch.submission;
    const auto &path = submission.items[index].path;
    return m_table->findRoute(submission.head.host,
                              std::string_view(path).substr(0, path.find('?')));
}

auto RolloutExecutor::addBatch(const Batch &batch, SubmissionPtr items,
                               const std::vector<version::batch::Progress> &progress) -> void
{
    const auto &head = batch.head;
    if (!m_active || !batch.open() || m_batches.contains(head.id))
        return;
    const auto table = m_parts.routing();
    const auto *route = table == nullptr ? nullptr : table->findRoute(head.host, head.path);
    const auto fallback = version::routing::Route();
    const auto &rules = route == nullptr ? fallback : *route;
    auto work = BatchWork();
    work.id = head.id;
    work.submission = std::move(items);
    const auto age = std::chrono::milliseconds(m_parts.trueMs() - head.submittedMs);
    work.dueAt = m_parts.now() + rules.resultDeadline - age;
    work.giveUpAtMs = head.submittedMs + base::toMilliseconds(rules.retention);
    for (auto index = std::size_t(0); index < batch.itemCount(); ++index) {
        auto &item = work.items.emplace_back();
        item.transcript =
            std::make_shared<Transcript>(TranscriptRules { head.minVersion, rules.singleVersion });
        if (batch.listed[index])
            item.state = ItemState::Done;
    }
    auto resumed = std::size_t(0);
    for (const auto &kept : progress) {
        if (kept.item >= work.items.size() || work.items[kept.item].state == ItemState::Done)
            continue;
        auto &item = work.items[kept.item];
        if (kept.events <= item.transcript->eventCount())
            continue;
        item.transcript->restore(kept.lastEvent, kept.events, kept.text, kept.versions);
        item.keptEvents = kept.events;
        ++resumed;
    }
    logging::info("rollout.batch_opened",
                  { { "batch", head.id },
                    { "model", head.model },
                    { "step", head.step },
                    { "min_version", head.minVersion },
                    { "items", batch.itemCount() },
                    { "listed", batch.listedCount },
                    { "resumed", resumed },
                    { "age_ms", age.count() } });
    m_batches.emplace(head.id, std::move(work));
    wake();
}

auto RolloutExecutor::endBatch(const std::string &id) -> void
{
    const auto found = m_batches.find(id);
    if (found == m_batches.end())
        return;
    auto running = std::size_t(0);
    auto waiting = std::size_t(0);
    for (auto &item : found->second.items) {
        if (item.state == ItemState::Waiting)
            ++waiting;
        if (item.run == nullptr)
            continue;
        item.run->cancel(RunEnd::Cancelled, "the batch has ended");
        ++running;
    }
    logging::info("rollout.batch_closed",
                  { { "batch", id },
                    { "running", running },
                    { "waiting", waiting },
                    { "late_ms", base::toMilliseconds(m_parts.now() - found->second.dueAt) } });
    m_batches.erase(found);
    wake();
}

auto RolloutExecutor::takeProgress(std::uint32_t leastEvents)
    -> std::map<std::string, std::vector<version::batch::Progress>>
{
    auto kept = std::map<std::string, std::vector<version::batch::Progress>>();
    for (auto &[id, batch] : m_batches) {
        for (auto index = std::size_t(0); index < batch.items.size(); ++index) {
            auto &item = batch.items[index];
            const auto &transcript = *item.transcript;
            if (item.state == ItemState::Done || transcript.empty()
                || transcript.eventCount() < item.keptEvents + leastEvents)
                continue;
            item.keptEvents = transcript.eventCount();
            kept[id].push_back({ static_cast<std::uint32_t>(index), transcript.lastId(),
                                 transcript.eventCount(), transcript.text(),
                                 transcript.versions() });
        }
    }
    return kept;
}

auto RolloutExecutor::demand() const -> std::map<std::string, double>
{
    auto tokens = std::map<std::string, double>();
    for (const auto &[id, batch] : m_batches) {
        for (auto index = std::size_t(0); index < batch.items.size(); ++index) {
            if (batch.items[index].state != ItemState::Done)
                tokens[batch.submission->head.model] +=
                    static_cast<double>(expectedOutput(batch, index));
        }
    }
    return tokens;
}

auto RolloutExecutor::neededVersion(const std::string &model) const -> std::uint64_t
{
    auto needed = std::uint64_t(0);
    for (const auto &[id, batch] : m_batches) {
        if (batch.submission->head.model == model)
            needed = std::max(needed, batch.submission->head.minVersion);
    }
    return needed;
}

auto RolloutExecutor::runningAt(const std::string &engine) const -> std::uint32_t
{
    const auto found = m_running.find(engine);
    return found == m_running.end() ? 0 : found->second;
}

auto RolloutExecutor::expectedOutput(const BatchWork &batch, std::size_t index) const
    -> std::uint64_t
{
    const auto &item = batch.submission->items[index];
    const auto &work = batch.items[index];
    const auto *service =
        m_table == nullptr ? nullptr : [&]() -> const version::routing::Service * {
        const auto *route = routeOf(batch, index);
        return route == nullptr ? nullptr : m_table->findService(route->services.front().service);
    }();
    const auto perEvent = service != nullptr && service->engine.has_value()
        ? std::max(1U, service->engine->tokensPerEvent)
        : 1U;
    const auto made = std::uint64_t(work.transcript->eventCount()) * perEvent;
    const auto hint = item.expectedOutput > 0 ? item.expectedOutput : DEFAULT_OUTPUT;
    // An item that has outrun its estimate is a long one.
    const auto left = hint > made ? hint - made : made / 2;
    const auto most = item.tokens > item.promptTokens + made
        ? item.tokens - item.promptTokens - made
        : std::uint64_t(perEvent);
    return std::clamp<std::uint64_t>(left, perEvent, std::max<std::uint64_t>(most, perEvent));
}

auto RolloutExecutor::coldRule(const std::string &service) const -> ColdRule
{
    const auto *found = m_table == nullptr ? nullptr : m_table->findService(service);
    if (found == nullptr)
        return {};
    return { found->coldPerSecond * COLD_SHARE, found->coldStart };
}

auto RolloutExecutor::giveUpExpired() -> void
{
    const auto trueMs = m_parts.trueMs();
    for (auto &[id, batch] : m_batches) {
        const auto expired = trueMs >= batch.giveUpAtMs;
        for (auto index = std::size_t(0); index < batch.items.size(); ++index) {
            if (batch.items[index].state != ItemState::Waiting)
                continue;
            if (expired)
                finish(batch, index, true, "kept for as long as its route says");
            else if (routeOf(batch, index) == nullptr)
                finish(batch, index, true, "its route was removed");
        }
    }
}

auto RolloutExecutor::watchRuns() -> void
{
    m_movesLeft = freeFastPlaces();
    for (auto &[id, batch] : m_batches) {
        for (auto index = std::size_t(0); index < batch.items.size(); ++index) {
            if (batch.items[index].run != nullptr)
                watchRun(batch, index);
        }
    }
}

//! Places at engines of usual pace that no waiting item needs. More moves than that would only send
//! items back to slow engines.
auto RolloutExecutor::freeFastPlaces() -> std::size_t
{
    auto places = std::size_t(0);
    for (const auto &engine : collectEngines()) {
        if (engine.pace < FAST_PACE && engine.running < engine.slots)
            places += std::min(engine.slots - engine.running, engine.startsLeft);
    }
    auto waiting = std::size_t(0);
    for (const auto &[id, batch] : m_batches)
        waiting += static_cast<std::size_t>(
            std::ranges::count(batch.items, ItemState::Waiting, &ItemWork::state));
    return places > waiting ? places - waiting : 0;
}

auto RolloutExecutor::watchRun(BatchWork &batch, std::size_t index) -> void
{
    auto &item = batch.items[index];
    const auto now = m_parts.now();
    const auto loading = m_parts.engines.loading(item.engine);
    const auto silent = now - item.run->progressAt();
    if (silent > (loading ? base::Duration(SILENCE_WHILE_LOADING) : base::Duration(SILENCE))) {
        item.run->cancel(RunEnd::Broken, "the engine is silent");
        return;
    }
    const auto *server = m_parts.servers.find(item.engine);
    const auto *route = routeOf(batch, index);
    if (server != nullptr && m_parts.servers.zonesOut().contains(server->record.zone)) {
        item.run->cancel(RunEnd::Cancelled, "the zone is taken out");
        return;
    }
    if (route == nullptr) {
        item.run->cancel(RunEnd::Cancelled, "its route was removed");
        return;
    }
    const auto events = item.run->runEvents();
    if (loading || item.seenEvents == 0 || events < item.seenEvents) {
        item.seenEvents = events;
        item.seenAt = item.run->progressAt();
    } else if (events >= item.seenEvents + PACE_EVENTS) {
        const auto gap = (item.run->progressAt() - item.seenAt) / (events - item.seenEvents);
        m_parts.engines.noteGap(item.engine, gap, runningAt(item.engine));
        item.seenEvents = events;
        item.seenAt = item.run->progressAt();
    }
    if (loading || m_parts.engines.pace(item.engine) < SLOW_PACE
        || expectedOutput(batch, index) < MOVE_TOKENS || item.avoid == item.engine)
        return;
    if (m_movesLeft == 0 || now - item.run->startedAt() < LEAST_RUN)
        return;
    --m_movesLeft;
    item.avoid = item.engine;
    item.run->cancel(RunEnd::Cancelled, "the engine is slow");
}

auto RolloutExecutor::collectWaiting(std::vector<WaitingItem> &waiting, std::vector<ItemKey> &keys)
    -> void
{
    const auto now = m_parts.now();
    for (const auto &[id, batch] : m_batches) {
        const auto &submission = *batch.submission;
        for (auto index = std::size_t(0); index < batch.items.size(); ++index) {
            const auto &item = batch.items[index];
            if (item.state != ItemState::Waiting || now < item.notBefore)
                continue;
            auto entry = WaitingItem();
            entry.handle = keys.size();
            entry.model = submission.head.model;
            entry.minVersion = submission.head.minVersion;
            entry.expectedTokens = expectedOutput(batch, index);
            entry.heldTokens = submission.items[index].promptTokens;
            entry.dueAt = batch.dueAt;
            entry.avoid = item.avoid;
            waiting.push_back(std::move(entry));
            keys.push_back({ id, index });
        }
    }
}

auto RolloutExecutor::collectEngines() -> std::vector<EngineLoad>
{
    auto engines = std::vector<EngineLoad>();
    const auto now = m_parts.now();
    for (const auto &[id, server] : m_parts.servers.all()) {
        const auto *service = m_table->findService(server.record.service);
        if (service == nullptr || !service->engine.has_value() || !m_parts.servers.usable(server))
            continue;
        auto load = EngineLoad();
        load.id = id;
        load.slots = server.record.slots;
        load.running = runningAt(id);
        load.cacheTokens = service->engine->cacheTokens;
        load.pace = m_parts.engines.pace(id);
        if (!m_parts.engines.loading(id))
            load.startsLeft = m_parts.health.startsLeft(id, server.coldUntil,
                                                        coldRule(server.record.service), now);
        for (const auto &[model, version] : server.record.modelVersion)
            load.modelVersion[model] =
                std::max(version, m_parts.engines.version(id, server.record.incarnation, model));
        engines.push_back(std::move(load));
    }
    return engines;
}

auto RolloutExecutor::place() -> void
{
    auto waiting = std::vector<WaitingItem>();
    auto keys = std::vector<ItemKey>();
    collectWaiting(waiting, keys);
    if (waiting.empty())
        return;
    auto engines = collectEngines();
    for (const auto &[id, batch] : m_batches) {
        for (auto index = std::size_t(0); index < batch.items.size(); ++index) {
            const auto &item = batch.items[index];
            if (item.state != ItemState::Running)
                continue;
            for (auto &engine : engines) {
                if (engine.id == item.engine)
                    engine.reservedTokens +=
                        batch.submission->items[index].promptTokens + expectedOutput(batch, index);
            }
        }
    }
    for (const auto &assignment : placeItems(std::move(waiting), engines))
        startRun(keys[assignment.handle], engines[assignment.engine]);
}

auto RolloutExecutor::startRun(const ItemKey &key, const EngineLoad &engine) -> void
{
    auto &batch = m_batches.at(key.batch);
    auto &item = batch.items[key.item];
    const auto &submission = *batch.submission;
    const auto &source = submission.items[key.item];
    const auto *server = m_parts.servers.find(engine.id);
    const auto *route = routeOf(batch, key.item);
    if (server == nullptr || route == nullptr)
        return;
    const auto serves = std::ranges::any_of(route->services, [&](const auto &share) {
        return share.service == server->record.service && share.weight > 0;
    });
    if (!serves)
        return;
    auto request = connection::http::Request();
    request.method = "POST";
    request.target = source.path;
    request.headers = source.headers;
    request.headers.push_back({ "Host", submission.head.host });
    request.body = source.body;
    auto envelope = serverprotocol::Envelope();
    envelope.serverId = engine.id;
    envelope.workspace = submission.head.workspace;
    envelope.timeLeft = std::chrono::milliseconds(batch.giveUpAtMs - m_parts.trueMs());
    envelope.urgency =
        expectedOutput(batch, key.item) >= LONG_OUTPUT ? LONG_URGENCY : USUAL_URGENCY;
    if (!item.transcript->empty())
        envelope.lastEvent = item.transcript->lastId();
    if (route->singleVersion)
        envelope.weightVersion = engine.modelVersion.at(submission.head.model);
    m_parts.protocol.seal(request, envelope);
    item.run =
        std::make_shared<ItemRun>(std::move(request), source.id, item.transcript, m_parts.protocol);
    item.state = ItemState::Running;
    item.engine = engine.id;
    item.seenEvents = 0;
    logging::info("rollout.placed",
                  { { "batch", key.batch },
                    { "item", source.id },
                    { "server", engine.id },
                    { "running", engine.running },
                    { "pace", engine.pace },
                    { "weights", engine.modelVersion.at(submission.head.model) },
                    { "expected_tokens", expectedOutput(batch, key.item) },
                    { "from_event", item.transcript->lastId() },
                    { "record_age_ms", base::toMilliseconds(m_parts.now() - server->heardAt) } });
    ++m_running[engine.id];
    m_parts.health.noteStart(engine.id, m_parts.now());
    m_runs.add();
    asio::co_spawn(m_parts.context, runItem(key, item.run, *server), asio::detached);
}

auto RolloutExecutor::runItem(ItemKey key, std::shared_ptr<ItemRun> run, Server server)
    -> asio::awaitable<void>
{
    const auto outcome =
        co_await run->run(m_parts.pools.pool(server.record.id, server.record.endpoint));
    auto &running = m_running[server.record.id];
    if (running > 0)
        --running;
    const auto found = m_batches.find(key.batch);
    if (found == m_batches.end() || found->second.items[key.item].run != run)
        co_return;
    if (outcome.end == RunEnd::Completed)
        m_itemSeconds.record(m_parts.now() - run->startedAt());
    finishRun(key, server, outcome);
    wake();
}

auto RolloutExecutor::finishRun(const ItemKey &key, const Server &server, const RunOutcome &outcome)
    -> void
{
    auto &batch = m_batches.at(key.batch);
    auto &item = batch.items[key.item];
    if (outcome.weightVersion.has_value())
        m_parts.engines.noteVersion(server.record.id, server.record.incarnation,
                                    batch.submission->head.model, *outcome.weightVersion);
    noteServer(server, item, outcome);
    if (outcome.end != RunEnd::Completed)
        logging::info(
            "rollout.run_ended",
            { { "batch", key.batch },
              { "item", batch.submission->items[key.item].id },
              { "server", server.record.id },
              { "end", base::nameOf(RUN_END_NAMES, outcome.end) },
              { "status", outcome.status },
              { "detail", outcome.detail },
              { "events", item.transcript->eventCount() },
              { "ran_ms", base::toMilliseconds(m_parts.now() - item.run->startedAt()) } });
    item.run.reset();
    item.state = ItemState::Waiting;
    settle(batch, key.item, outcome);
}

auto RolloutExecutor::noteServer(const Server &server, const ItemWork &item,
                                 const RunOutcome &outcome) -> void
{
    const auto &id = server.record.id;
    const auto now = m_parts.now();
    switch (outcome.end) {
    case RunEnd::Completed:
    case RunEnd::Failed:
    case RunEnd::Impossible:
        m_parts.health.noteAnswer(id);
        return;
    case RunEnd::NotRun:
        m_parts.health.noteFull(id, now);
        return;
    case RunEnd::WrongServer:
        m_parts.health.noteWrongServer(id, now);
        return;
    case RunEnd::Unreachable:
        m_parts.health.noteLost(id, coldRule(server.record.service), now);
        return;
    case RunEnd::Broken:
        // One broken answer among good ones says nothing of the server; silence and a connection
        // that ends before any answer do.
        if (!item.run->gotHead() || item.run->runEvents() == 0)
            m_parts.health.noteLost(id, coldRule(server.record.service), now);
        return;
    case RunEnd::Malformed:
    case RunEnd::Outdated:
    case RunEnd::Cancelled:
        return;
    }
}

auto RolloutExecutor::settle(BatchWork &batch, std::size_t index, const RunOutcome &outcome) -> void
{
    auto &item = batch.items[index];
    const auto now = m_parts.now();
    const auto *route = m_table == nullptr ? nullptr : routeOf(batch, index);
    switch (outcome.end) {
    case RunEnd::Completed:
        finish(batch, index, false, "completed");
        return;
    case RunEnd::Impossible:
        finish(batch, index, true, "the engine says that it can't be done");
        return;
    case RunEnd::Failed:
        ++item.failures;
        item.avoid = item.engine;
        if (route != nullptr && item.failures >= std::max(1U, route->maxAttempts)) {
            finish(batch, index, true, "failed at each attempt");
            return;
        }
        item.notBefore = now + FAILED_PAUSE;
        return;
    case RunEnd::Broken:
        item.avoid = item.engine;
        item.notBefore = now
            + std::min<base::Duration>(LOSS_PAUSE
                                           * (1 << (2 * std::min(item.losses, MAX_LOSS_SHIFTS))),
                                       LONGEST_LOSS_PAUSE);
        ++item.losses;
        return;
    case RunEnd::Malformed:
    case RunEnd::Outdated:
        item.transcript->reset();
        item.keptEvents = 0;
        item.avoid = item.engine;
        return;
    case RunEnd::NotRun:
    case RunEnd::WrongServer:
    case RunEnd::Unreachable:
        item.notBefore = now + REFUSED_PAUSE;
        return;
    case RunEnd::Cancelled:
        return;
    }
}

auto RolloutExecutor::finish(BatchWork &batch, std::size_t index, bool lost,
                             std::string_view reason) -> void
{
    auto &item = batch.items[index];
    item.state = ItemState::Done;
    auto result = version::batch::Result();
    result.item = static_cast<std::uint32_t>(index);
    result.itemId = batch.submission->items[index].id;
    result.lost = lost;
    if (!lost) {
        result.text = item.transcript->text();
        result.versions = item.transcript->versions();
    }
    (lost ? m_lostItems : m_completed).add();
    if (lost)
        logging::warning("rollout.item_lost",
                         { { "batch", batch.id },
                           { "item", batch.submission->items[index].id },
                           { "reason", reason },
                           { "failures", item.failures },
                           { "losses", item.losses } });
    m_parts.onFinished(batch.id, std::move(result));
    item.transcript->reset();
}

} // namespace nutmegplank::request::rollout
