#include "app/node/conductor.h"

#include <boost/asio.hpp>

#include "app/node/partitions.h"
#include "base/status.h"
#include "process/clock/clock.h"
#include "process/clock/pause.h"
#include "process/logging/logging.h"
#include "process/logging/taskfailure.h"
#include "request/rollout/textpressure.h"

namespace nutmegplank::app::node {

namespace {

namespace asio = boost::asio;
namespace journal = version::journal;
namespace logging = process::logging;
using process::clock::pauseFor;
using version::batch::Batch;

constexpr auto LONG_POLL = std::chrono::milliseconds(1000);
constexpr auto LEASE_CHECK = std::chrono::milliseconds(100);
constexpr auto APPEND_TIME = std::chrono::milliseconds(900);
constexpr auto EPOCH_RETRY = std::chrono::milliseconds(100);
//! Texts of long items are kept this often, so that a lost holder costs them a second and not their
//! whole run; short ones are done before.
constexpr auto CHECKPOINT_EVERY = std::chrono::milliseconds(800);
constexpr auto CHECKPOINT_EVENTS = 12U;
//! A leaving holder keeps all texts before it hands the lease back, within this.
constexpr auto HAND_OVER_TIME = std::chrono::milliseconds(600);
constexpr auto LOAD_RETRY = std::chrono::milliseconds(100);
constexpr auto CONFIGURATION_CHECK = std::chrono::milliseconds(20);
constexpr auto CATCH_UP_TIME = std::chrono::seconds(3);

//! Machines with less than this of a core leave the lease to larger ones for as long as any of
//! those claims it: who holds it reads the events of all running items.
constexpr auto SMALL_CPU_SHARE = 0.3;
constexpr auto SMALL_HANDICAP = std::chrono::milliseconds(800);

constexpr auto CALL_END_CHECK = std::chrono::milliseconds(10);

auto leaseTimes(const process::settings::MachineSettings &settings)
    -> version::leadership::LeaseTimes
{
    auto times = version::leadership::LeaseTimes();
    if (settings.cpuShare < SMALL_CPU_SHARE)
        times.claimDelay = SMALL_HANDICAP;
    if (!settings.peersCheckFences)
        times.pauseAfterLoss = settings.holderTurn;
    return times;
}

} // namespace

Conductor::Conductor(ConductorParts parts)
    : m_parts(std::move(parts))
    , m_leadership({ m_parts.process, m_parts.settings.node, process::clock::now() },
                   leaseTimes(m_parts.settings))
    , m_leaseFollower(m_parts.context, m_parts.journal,
                      { partitionFor(PartitionUse::Lease), LONG_POLL },
                      { [this](const journal::Record &record, base::TimePoint now) {
                           m_leadership.apply(record, now);
                           followLease();
                       },
                        {} })
    , m_results(m_parts.context, m_parts.journal, m_parts.batches.bulk(), m_parts.metrics,
                { [this] { deactivate("another process writes results"); },
                  [this](const std::string &batch, std::uint32_t item) {
                      m_executor.reopenItem(batch, item);
                  } })
    , m_executor(executorDependencies())
    , m_waves(m_parts.context, m_parts.engineControl, waveHooks(), m_parts.metrics)
    , m_usage({ m_parts.context, m_parts.journal, m_parts.duties, m_parts.trueTime, m_parts.metrics,
                m_parts.process, m_parts.settings.usageWindow,
                [this](base::TimePoint now) { return orderFence(now); },
                [this](std::uint64_t fence) { m_refusedFence = std::max(m_refusedFence, fence); } })
    , m_scaling({ m_parts.context, m_parts.servers, m_parts.duties, m_parts.metrics,
                  m_parts.routing, [this](base::TimePoint now) { return orderFence(now); } })
    , m_inCharge(
          m_parts.metrics.gauge("nutmegplank_in_charge", "1 while this process holds the lease."))
{
    m_parts.batches.setHooks(
        { [this](const Batch &batch) { openBatch(batch); },
          [this](const Batch &batch) {
              if (!batch.open())
                  m_executor.endBatch(batch.head.key());
          },
          [this](const Batch &batch) { m_executor.endBatch(batch.head.key()); } });
}

auto Conductor::executorDependencies() -> request::rollout::ExecutorDependencies
{
    return { m_parts.context,
             m_parts.servers,
             m_parts.health,
             m_parts.pools,
             m_parts.engines,
             m_parts.protocol,
             m_parts.metrics,
             m_parts.routing,
             m_parts.serversReadAt,
             m_parts.readServersNow,
             [] { return process::clock::now(); },
             [this] { return m_parts.trueTime.milliseconds(process::clock::now()); },
             m_parts.journal.limits().recordBytes,
             request::rollout::textBudgetOf(m_parts.settings.memoryBytes),
             [this] { return m_results.waitingBytes(); },
             [this](const std::string &batch, version::batch::Result result) {
                 m_results.add(batch, std::move(result));
             },
             [this](const std::string &batch, version::batch::Progress mark) {
                 m_results.addProgress(batch, { std::move(mark) });
             } };
}

auto Conductor::orderFence(base::TimePoint now) const -> std::optional<std::uint64_t>
{
    const auto fence = m_leadership.fence(now);
    if (!fence.has_value() || m_handingOver || m_activeFence != *fence || *fence <= m_refusedFence)
        return std::nullopt;
    return fence;
}

auto Conductor::permitCall(std::uint64_t fence, base::TimePoint now) const
    -> std::optional<version::leadership::CallPermission>
{
    if (orderFence(now) != fence)
        return std::nullopt;
    if (m_parts.settings.peersCheckFences)
        return version::leadership::CallPermission { base::TimePoint::max() };
    const auto limit = m_leadership.uncheckedCallLimit(now);
    if (!limit.has_value())
        return std::nullopt;
    return version::leadership::CallPermission { *limit };
}

//! The successor may call peers as soon as it has read the release of the lease.
auto Conductor::endCalls() -> asio::awaitable<void>
{
    m_handingOver = true;
    while (!m_parts.settings.peersCheckFences && m_parts.fencedCalls.active() > 0)
        co_await pauseFor(CALL_END_CHECK);
}

auto Conductor::waveHooks() -> version::waves::WaveRunnerHooks
{
    auto hooks = version::waves::WaveRunnerHooks();
    hooks.now = [] { return process::clock::now(); };
    hooks.onCall = [this](const std::string &engine) {
        m_parts.health.limits().noteSent(engine, process::clock::now());
    };
    hooks.fence = [this](base::TimePoint now) { return orderFence(now); };
    hooks.engines = [this] { return orderableEngines(); };
    hooks.publishedVersions = [this] { return m_parts.namedVersions(); };
    hooks.minimumVersion = [this](const std::string &model) {
        return m_executor.neededVersion(model);
    };
    hooks.demand = [this] { return m_executor.demand(); };
    hooks.strategy = [this](const std::string &service) {
        const auto table = m_parts.routing();
        const auto single =
            table != nullptr
            && std::ranges::any_of(table->routes, [&](const version::routing::Route &route) {
                   return route.singleVersion && route.services.front().service == service;
               });
        return single ? version::waves::LoadStrategy::Finish : version::waves::LoadStrategy::Retain;
    };
    hooks.onVersion = [this](const version::waves::OrderableEngine &engine,
                             const std::string &model, std::uint64_t version) {
        m_parts.engines.noteVersion(engine.id, engine.incarnation, model, version);
        m_executor.wake();
    };
    hooks.onLoading = [this](const std::string &engine, bool loading) {
        m_parts.engines.setLoading(engine, loading);
        m_executor.wake();
    };
    return hooks;
}

auto Conductor::orderableEngines() const -> std::vector<version::waves::OrderableEngine>
{
    auto engines = std::vector<version::waves::OrderableEngine>();
    const auto table = m_parts.routing();
    if (table == nullptr)
        return engines;
    const auto now = process::clock::now();
    for (const auto &[id, server] : m_parts.servers.all()) {
        const auto *service = table->findService(server.record.service);
        if (service == nullptr || !service->engine.has_value() || !m_parts.servers.usable(server))
            continue;
        auto engine =
            version::waves::OrderableEngine { id, server.record.endpoint, server.record.service,
                                              server.record.incarnation };
        for (const auto &[model, version] : server.record.modelVersion)
            engine.versions[model] =
                std::max(version, m_parts.engines.version(id, server.record.incarnation, model));
        engine.running = m_executor.runningAt(id);
        engine.reachable = !m_parts.health.paused(id, now);
        engine.mayCall = m_parts.health.limits().mayCall(id, now);
        engines.push_back(std::move(engine));
    }
    return engines;
}

auto Conductor::start() -> void
{
    m_leaseFollower.start();
    m_waves.start();
    m_usage.start();
    if (!m_parts.settings.cloudEndpoint.empty())
        m_scaling.start();
    asio::co_spawn(m_parts.context, leaseLoop(), logging::LogTaskFailure("lease.loop"));
    asio::co_spawn(m_parts.context, checkpointLoop(),
                   logging::LogTaskFailure("results.checkpoint"));
}

auto Conductor::leaseLoop() -> asio::awaitable<void>
{
    while (!m_leaving) {
        co_await stepLease(process::clock::now());
        co_await pauseFor(LEASE_CHECK);
    }
}

auto Conductor::stepLease(base::TimePoint now) -> asio::awaitable<void>
{
    m_inCharge.set(m_leadership.fence(now).has_value() ? 1 : 0);
    const auto &reachability = m_leaseFollower.reachability();
    // The holder must be the first to notice that the log is available again.
    if (!reachability.reachable() && m_leadership.uncontestedFence().has_value())
        m_leaseFollower.requestFastRetries(now);
    // An append that began before the log's return may hang until its timeout.
    const auto isSending = m_sendingLease && m_leaseSentAt >= reachability.recoveredAt();
    if (isSending || !m_leaseFollower.caughtUp())
        co_return;
    // Who has not read all batches, or no configuration, would only hold up the others.
    const auto mayClaim = !m_departing && m_parts.batches.caughtUp() && m_parts.batches.reachable()
        && m_parts.routing() != nullptr;
    const auto contact =
        version::leadership::LogContact { reachability.answeredAt(), reachability.recoveredAt() };
    auto action = m_leadership.next(now, contact, mayClaim);
    if (!action.has_value())
        co_return;
    m_sendingLease = true;
    m_leaseSentAt = now;
    asio::co_spawn(m_parts.context, sendLease(std::move(*action)),
                   logging::LogTaskFailure("lease.send"));
}

auto Conductor::sendLease(version::leadership::LeaseAction action) -> asio::awaitable<void>
{
    auto records = std::vector<std::string> { action.record.SerializeAsString() };
    auto condition = journal::AppendCondition();
    condition.at = action.at;
    const auto result = co_await m_parts.journal.append(partitionFor(PartitionUse::Lease),
                                                        std::move(records), condition, APPEND_TIME);
    m_sendingLease = false;
    if (result.outcome != journal::AppendOutcome::Done
        && result.outcome != journal::AppendOutcome::Conflict)
        logging::warning(
            "lease.append_failed",
            { { "kind", record::LeaseRecordKind_Name(action.record.kind()) },
              { "outcome", base::nameOf(journal::APPEND_OUTCOME_NAMES, result.outcome) },
              { "detail", result.detail } });
}

auto Conductor::followLease() -> void
{
    const auto fence = m_leadership.uncontestedFence();
    if (!fence.has_value() || *fence != m_activeFence)
        deactivate("another process holds the lease");
    if (!fence.has_value() || *fence == m_activeFence || m_activating || m_leaving)
        return;
    m_activating = true;
    asio::co_spawn(m_parts.context, activate(*fence),
                   logging::LogTaskFailure("conductor.activate"));
}

auto Conductor::activate(std::uint64_t fence) -> asio::awaitable<void>
{
    auto end = std::optional<std::uint64_t>();
    while (m_leadership.uncontestedFence() == fence && !m_leaving) {
        end = co_await m_results.begin(fence);
        if (end.has_value()) {
            const auto until = process::clock::now() + CATCH_UP_TIME;
            const auto reached = co_await m_parts.batches.waitForPosition(*end, until);
            if (reached)
                break;
        }
        end.reset();
        co_await pauseFor(EPOCH_RETRY);
    }
    m_activating = false;
    if (!end.has_value() || m_leadership.uncontestedFence() != fence || m_leaving)
        co_return;
    m_activeFence = fence;
    logging::info("conductor.active", { { "fence", fence }, { "log_end", *end } });
    m_executor.start();
    for (const auto &[key, batch] : m_parts.batches.log().all())
        openBatch(*batch);
}

auto Conductor::openBatch(const Batch &batch) -> void
{
    if (m_activeFence != 0 && batch.open())
        asio::co_spawn(m_parts.context, loadBatch(batch.head.key(), m_activeFence),
                       logging::LogTaskFailure("batch.load"));
}

//! Whether the configuration here is at least as new as the one under which \a batch was accepted.
auto Conductor::knowsConfigurationOf(const Batch &batch) const -> bool
{
    const auto table = m_parts.routing();
    return table != nullptr && table->version >= batch.head.configuration;
}

//! A route that is missing in an older configuration has not been removed: the batch waits.
auto Conductor::waitForConfigurationOf(std::string batchKey, std::uint64_t fence)
    -> asio::awaitable<void>
{
    auto waits = false;
    while (m_activeFence == fence) {
        const auto *batch = m_parts.batches.log().find(batchKey);
        if (batch == nullptr || !batch->open() || knowsConfigurationOf(*batch))
            co_return;
        if (!std::exchange(waits, true))
            logging::info("batch.configuration_awaited",
                          { { "batch", version::batch::idOf(batchKey) },
                            { "configuration", batch->head.configuration } });
        m_parts.readConfigurationNow();
        co_await pauseFor(CONFIGURATION_CHECK);
    }
}

auto Conductor::loadBatch(std::string batchKey, std::uint64_t fence) -> asio::awaitable<void>
{
    while (m_activeFence == fence) {
        co_await waitForConfigurationOf(batchKey, fence);
        auto submission = co_await m_parts.batches.loadSubmission(batchKey);
        const auto *batch = m_parts.batches.log().find(batchKey);
        if (batch == nullptr || !batch->open() || m_activeFence != fence)
            co_return;
        if (submission.ok()) {
            const auto progress = co_await m_parts.batches.loadProgress(batchKey);
            batch = m_parts.batches.log().find(batchKey);
            if (batch != nullptr && m_activeFence == fence)
                m_executor.addBatch(*batch, *submission, progress);
            co_return;
        }
        logging::warning("batch.load_failed",
                         { { "batch", version::batch::idOf(batchKey) },
                           { "problem", base::describe(submission.status()) } });
        if (submission.status().code() == absl::StatusCode::kDataLoss)
            co_return;
        co_await pauseFor(LOAD_RETRY);
    }
}

auto Conductor::deactivate(std::string_view reason) -> void
{
    if (m_activeFence == 0)
        return;
    logging::info("conductor.passive", { { "fence", m_activeFence }, { "reason", reason } });
    m_activeFence = 0;
    m_executor.stop(reason);
    m_results.stop();
}

auto Conductor::leave(base::TimePoint latest) -> asio::awaitable<void>
{
    m_departing = true;
    while (m_activeFence != 0 && !m_parts.batches.reachable() && process::clock::now() < latest) {
        m_parts.batches.requestFastRetries(process::clock::now());
        co_await pauseFor(LEASE_CHECK);
    }
    m_leaving = true;
    if (m_activeFence != 0) {
        for (auto &[batch, items] : m_executor.collectProgress(1))
            m_results.addProgress(batch, std::move(items));
        co_await m_results.drain(process::clock::now() + HAND_OVER_TIME);
    }
    co_await endCalls();
    const auto action = m_leadership.release(process::clock::now());
    deactivate("this process is leaving");
    if (action.has_value())
        co_await sendLease(*action);
}

auto Conductor::checkpointLoop() -> asio::awaitable<void>
{
    while (!m_leaving) {
        co_await pauseFor(CHECKPOINT_EVERY);
        if (m_activeFence == 0 || m_leaving || !m_parts.batches.reachable())
            continue;
        // Copies of texts must not pile up faster than the log takes them.
        if (m_results.hasWaitingProgress())
            continue;
        for (auto &[batch, items] : m_executor.collectProgress(CHECKPOINT_EVENTS))
            m_results.addProgress(batch, std::move(items));
    }
}

} // namespace nutmegplank::app::node
