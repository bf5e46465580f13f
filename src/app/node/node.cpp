#include "app/node/node.h"

#include <boost/asio.hpp>

#include "app/node/pooloptions.h"
#include "base/hash.h"
#include "base/status.h"
#include "base/text.h"
#include "platform/directory.h"
#include "platform/operatorrecords.h"
#include "platform/serverrecords.h"
#include "process/clock/clock.h"
#include "process/clock/pause.h"
#include "process/logging/logging.h"
#include "process/logging/taskfailure.h"

namespace nutmegplank::app::node {

namespace {

namespace asio = boost::asio;
namespace http = connection::http;
namespace journal = version::journal;
namespace logging = process::logging;

constexpr auto USE_TUPLE = asio::as_tuple(asio::use_awaitable);
constexpr auto LONG_POLL = std::chrono::milliseconds(1000);
//! Backend servers write every 1.2 s, each of them: a long poll would never rest. A server that
//! leaves must get nothing more 2 s after it said so.
constexpr auto SERVER_READ_PAUSE = std::chrono::milliseconds(400);
constexpr auto LOOK_FOR_QUIET = std::chrono::milliseconds(50);
constexpr auto HOUSEKEEPING = std::chrono::milliseconds(100);
//! A process that did nothing for this long was paused; a slow machine's loop takes less.
constexpr auto PAUSE_LIMIT = std::chrono::milliseconds(900);
//! Callers keep the directory's answer for this long, some three times as long.
constexpr auto DIRECTORY_TTL = std::chrono::seconds(2);
//! Share of the time until SIGKILL for which a process in charge waits for a log that is away; then
//! a second is left to hand over.
constexpr auto DUTY_SHARE = 0.65;
//! Share after which a leaving process takes nothing new, also from callers that still use their
//! open connections; until then it takes what can end in time.
constexpr auto TAKING_SHARE = 0.8;
//! Share after which it ends at the latest; what it took must be answered before.
constexpr auto GRACE_SHARE = 0.95;
//! A leaving process stays at least until callers have asked the directory again.
constexpr auto LEAST_STAY = std::chrono::milliseconds(2500);
//! A caller waits for its stream meanwhile; the log answers in some milliseconds.
constexpr auto REFRESH_TIME = std::chrono::milliseconds(300);
constexpr auto REFRESH_CHECK = std::chrono::milliseconds(2);
constexpr auto STATUS_NOT_FOUND = 404U;
constexpr auto STATUS_UNAVAILABLE = 503U;
constexpr auto METRICS_PORT = std::uint16_t(9464);

} // namespace

Node::Node(process::runtime::Runtime &runtime, process::settings::MachineSettings settings)
    : m_runtime(runtime)
    , m_settings(std::move(settings))
    , m_incarnation(base::concat(m_settings.node, "#", base::randomId().substr(0, 8)))
    , m_trueTime(process::clock::wallMilliseconds(), process::clock::now())
    , m_store(m_settings.storeEndpoint, m_settings.appendLimits, m_metrics)
    , m_pools(serverPoolOptions())
    , m_fencedCalls([this](std::uint64_t fence, base::TimePoint now) {
        return m_conductor.permitCall(fence, now);
    })
    , m_engineControl(m_settings.node, m_pools, m_fencedCalls,
                      [this](const std::string &engine, const http::Response &response,
                             base::TimePoint sentAt) {
                          request::serverprotocol::noteServerHead(
                              { m_servers, m_health.limits() }, engine,
                              m_serverProtocol.readHead(response), sentAt, process::clock::now());
                      })
    , m_duties(m_settings.cloudEndpoint, m_settings.node, m_fencedCalls)
    , m_servers({})
    , m_suspects([this] { m_membership.announce(); })
    , m_routing(nullptr)
    , m_operatorFollower(m_runtime.context(), m_store,
                         { { platform::OPERATOR_TOPIC, 0 }, LONG_POLL },
                         { [this](const journal::KeyedRecord &record, base::TimePoint now) {
                              applyOperatorRecord(record, now);
                          },
                           [this](const std::set<std::string> &keys, std::uint64_t end,
                                  base::TimePoint) { endEvacuations(keys, end); } })
    , m_serverFollower(
          m_runtime.context(), m_store,
          { { platform::SERVER_TOPIC, 0 }, base::Duration(0), SERVER_READ_PAUSE },
          { [this](const journal::KeyedRecord &record, base::TimePoint now) {
               applyServerRecord(record, now);
           },
            [this](const std::set<std::string> &keys, std::uint64_t, base::TimePoint now) {
                m_streamOrigins.noteServerGap();
                m_servers.retain(keys, m_serverFollower.reachability().recoveredAt(), now);
            } })
    , m_batches(m_runtime.context(), m_store, m_incarnation, m_metrics)
    , m_heldAnswers(m_settings.memoryBytes)
    , m_heldAnswerBytes(m_metrics.gauge("nutmegplank_held_answer_bytes",
                                        "Answers that wait for their callers to read them."))
    , m_unreadAnswers(m_metrics.gauge("nutmegplank_unread_answers_dropped",
                                      "Callers disconnected because they left answers unread."))
    , m_membership(m_runtime.context(), m_store, m_settings, m_incarnation, m_trueTime, m_suspects,
                   m_health.limits())
    , m_conductor({ m_runtime.context(),
                    m_store,
                    m_batches,
                    m_servers,
                    m_health,
                    m_engines,
                    m_pools,
                    m_serverProtocol,
                    m_fencedCalls,
                    m_engineControl,
                    m_duties,
                    m_trueTime,
                    m_metrics,
                    m_settings,
                    m_incarnation,
                    [this] { return m_routing.load(); },
                    [this] { return m_namedVersions; },
                    [this] { return m_serverFollower.currentAsOf(); },
                    [this] { m_serverFollower.readNow(); },
                    [this] {
                        asio::co_spawn(m_runtime.context(), readOperatorRecords(),
                                       logging::LogTaskFailure("node.read_operator"));
                    } })
    , m_streamOrigins(m_runtime.context(), m_store, m_servers,
                      { [this](base::TimePoint now) { return m_conductor.isInCharge(now); },
                        [this] { return refreshServers(); } })
    , m_forwarder({ m_runtime.context(), m_servers, m_health, m_pools, m_serverProtocol, m_metrics,
                    m_heldAnswers, m_suspects, m_streamOrigins, m_settings.node, m_settings.zone,
                    [this] { return m_routing.load(); }, [] { return process::clock::now(); },
                    [this] { return m_membership.memberCount(process::clock::now()); },
                    [this] { return m_membership.memberNames(process::clock::now()); },
                    [this](const std::string &workspace) { m_conductor.countRun(workspace); } })
    , m_relay([this] { return m_membership.peers(process::clock::now()); }, m_metrics)
    , m_calls({ m_runtime.context(), m_callProtocol, m_forwarder, m_batches, m_relay,
                m_shutdownGate, m_heldAnswers, m_trueTime, m_metrics,
                [this] { return m_routing.load(); }, [this] { return m_serverFollower.complete(); },
                [this] {
                    checkPause(process::clock::now());
                    return m_resuming;
                } })
    , m_callerGuard({ m_settings.memoryBytes, m_settings.descriptors }, m_metrics)
{
    m_health.limits().setMachine(m_settings.node);
}

auto Node::callerLimits() const -> http::ServerLimits
{
    auto limits = http::ServerLimits();
    const auto table = m_routing.load();
    const auto configured = table == nullptr ? version::routing::CallerLimits() : table->limits;
    limits.headerBytes = configured.headerBytes;
    limits.bodyBytes = configured.bodyBytes;
    limits.headerTime = configured.headerTime;
    limits.idleTime = configured.idleTime;
    limits.connections = m_callerGuard.connections(limits.connections);
    return limits;
}

auto Node::makeServers() -> void
{
    auto &context = m_runtime.context();
    m_callerServer = std::make_unique<http::HttpServer>(
        context, callerLimits(),
        [this](http::Request request, http::IHttpResponder &responder) {
            return m_calls.handle(std::move(request), responder);
        },
        http::TlsContextSource(), m_callerGuard.bounds());
    m_directoryServer = std::make_unique<http::HttpServer>(
        context, http::ServerLimits(),
        [this](http::Request request, http::IHttpResponder &responder) -> asio::awaitable<void> {
            if (!platform::isDirectoryRequest(request)) {
                auto unknown = http::Response();
                unknown.status = STATUS_NOT_FOUND;
                co_await responder.respond(std::move(unknown));
                co_return;
            }
            const auto zone = http::queryValue(request.target, "zone");
            const auto addresses =
                m_membership.addresses(zone, platform::MAX_ADDRESSES, process::clock::now());
            const auto keepFor = std::min<base::Duration>(DIRECTORY_TTL, m_settings.directoryTtl);
            co_await responder.respond(platform::writeAddresses(addresses, keepFor));
        });
    m_readinessServer = std::make_unique<http::HttpServer>(
        context, http::ServerLimits(),
        [this](http::Request request, http::IHttpResponder &responder) -> asio::awaitable<void> {
            auto answer = http::Response();
            if (!platform::isReadinessProbe(request))
                answer.status = STATUS_NOT_FOUND;
            else if (!isReady())
                answer.status = STATUS_UNAVAILABLE;
            co_await responder.respond(std::move(answer));
        });
    m_metricsServer = std::make_unique<http::HttpServer>(
        context, http::ServerLimits(),
        [this](http::Request, http::IHttpResponder &responder) -> asio::awaitable<void> {
            auto page = http::Response();
            page.headers.push_back({ "Content-Type", "text/plain; version=0.0.4" });
            page.body = m_metrics.render();
            co_await responder.respond(std::move(page));
        });
}

auto Node::listen(http::HttpServer &server, const std::string &endpoint) -> absl::Status
{
    const auto colon = endpoint.rfind(':');
    const auto port = static_cast<std::uint16_t>(std::stoi(endpoint.substr(colon + 1)));
    return server.listen(endpoint.substr(0, colon), port).status();
}

auto Node::start() -> absl::Status
{
    makeServers();
    const auto metricsEndpoint = base::concat(m_settings.ip, ":", METRICS_PORT);
    const auto servers = std::vector<std::pair<http::HttpServer *, std::string>> {
        { m_callerServer.get(), m_settings.callerEndpoint },
        { m_directoryServer.get(), m_settings.directoryEndpoint },
        { m_readinessServer.get(), m_settings.readinessEndpoint },
        { m_metricsServer.get(), metricsEndpoint },
    };
    for (const auto &[server, endpoint] : servers) {
        const auto listening = listen(*server, endpoint);
        if (!listening.ok())
            return listening;
    }
    logging::info("node.started",
                  { { "incarnation", m_incarnation },
                    { "zone", m_settings.zone },
                    { "callers", m_settings.callerEndpoint },
                    { "store", m_settings.storeEndpoint } });
    m_operatorFollower.start();
    m_serverFollower.start();
    m_batches.start();
    m_membership.start();
    m_conductor.start();
    asio::co_spawn(m_runtime.context(), housekeeping(),
                   logging::LogTaskFailure("node.housekeeping"));
    return absl::OkStatus();
}

auto Node::isReady() const -> bool
{
    return !m_terminating && m_routing.load() != nullptr && m_serverFollower.complete()
        && m_batches.caughtUp();
}

auto Node::applyOperatorRecord(const journal::KeyedRecord &record, base::TimePoint now) -> void
{
    (void)now;
    switch (platform::kindOfOperatorKey(record.key)) {
    case platform::OperatorRecordKind::Configuration:
        applyConfiguration(record);
        return;
    case platform::OperatorRecordKind::ZoneEvacuation:
        applyEvacuation(record);
        return;
    case platform::OperatorRecordKind::WeightVersion: {
        const auto named = platform::readAnnouncedWeightVersion(record);
        if (!named.has_value()) {
            logging::error("weights.malformed_record",
                           { { "key", record.key }, { "offset", record.offset } });
            return;
        }
        auto &version = m_namedVersions[named->model];
        version = std::max(version, named->version);
        logging::info("weights.named",
                      { { "model", named->model },
                        { "version", named->version },
                        { "offset", record.offset } });
        m_conductor.wake();
        return;
    }
    case platform::OperatorRecordKind::Other:
        return;
    }
}

auto Node::applyConfiguration(const journal::KeyedRecord &record) -> void
{
    const auto table = platform::readConfiguration(record);
    if (!table.ok()) {
        logging::error("configuration.malformed",
                       { { "problem", base::describe(table.status()) } });
        return;
    }
    const auto current = m_routing.load();
    // Versions only go up, whatever an old read brings.
    if (current != nullptr && (*table)->version <= current->version)
        return;
    logging::info("configuration.applied",
                  { { "version", (*table)->version },
                    { "former", current == nullptr ? 0 : current->version },
                    { "offset", record.offset },
                    { "routes", (*table)->routes.size() },
                    { "keys", (*table)->workspaces.size() } });
    m_routing.store(*table);
    if (std::ranges::any_of((*table)->routes, &version::routing::Route::resumable))
        m_streamOrigins.start();
    const auto limits = callerLimits();
    m_callerGuard.setLargestBody(limits.bodyBytes);
    m_callerServer->setLimits(limits);
    m_conductor.wake();
}

auto Node::applyEvacuation(const journal::KeyedRecord &record) -> void
{
    const auto zone = platform::evacuatedZoneFromKey(record.key);
    const auto evacuated = !record.value.empty();
    if (!m_evacuatedZones.apply(zone, evacuated, record.offset))
        return;
    logging::info("zone.changed",
                  { { "zone", zone }, { "out", evacuated }, { "offset", record.offset } });
    m_servers.setZonesOut(m_evacuatedZones.zones());
    m_conductor.wake();
}

//! Ends the evacuations whose record is not among the \a keys of a snapshot that was taken when the
//! log ended at offset \a end.
auto Node::endEvacuations(const std::set<std::string> &keys, std::uint64_t end) -> void
{
    auto recorded = std::set<std::string>();
    for (const auto &key : keys) {
        if (platform::kindOfOperatorKey(key) == platform::OperatorRecordKind::ZoneEvacuation)
            recorded.insert(platform::evacuatedZoneFromKey(key));
    }
    for (const auto &zone : m_evacuatedZones.retain(recorded, end))
        logging::info("zone.changed",
                      { { "zone", zone }, { "out", false }, { "snapshot_end", end } });
    m_servers.setZonesOut(m_evacuatedZones.zones());
    m_conductor.wake();
}

auto Node::applyServerRecord(const journal::KeyedRecord &record, base::TimePoint now) -> void
{
    if (record.value.empty()) {
        const auto *leaving = m_servers.find(record.key);
        if (leaving != nullptr)
            m_streamOrigins.noteServer(leaving->record.service, leaving->record.software);
        m_servers.remove(record.key, m_serverFollower.reachability().recoveredAt(), now);
        return;
    }
    auto server = platform::readServerRecord(record);
    if (!server.ok()) {
        if (m_badRecords.insert(record.key).second)
            logging::error("server.malformed_record",
                           { { "problem", base::describe(server.status()) } });
        return;
    }
    const auto id = server->id;
    const auto incarnation = server->incarnation;
    const auto *known = m_servers.find(id);
    if (known != nullptr && known->record.incarnation != incarnation) {
        m_health.limits().forget(id, now);
        m_health.forgetSizes(id);
        m_suspects.noteProcessEnded(id, known->record.incarnation, now);
    }
    for (const auto &[model, version] : server->modelVersion)
        m_engines.noteVersion(id, incarnation, model, version);
    m_streamOrigins.noteServer(server->service, server->software);
    m_servers.update(std::move(*server), record.offset, now);
}

auto Node::checkPause(base::TimePoint now) -> void
{
    const auto gap = now - std::exchange(m_lastTick, now);
    if (gap < PAUSE_LIMIT || m_resuming)
        return;
    logging::warning("node.resumed", { { "paused_ms", base::toMilliseconds(gap) } });
    m_resuming = true;
    asio::co_spawn(m_runtime.context(), readConfigurationAgain(),
                   logging::LogTaskFailure("node.resume"));
}

//! What operators changed during a pause holds before the next call is handled. Answers to reads
//! that were sent before the pause may be as old as the pause itself.
auto Node::readConfigurationAgain() -> asio::awaitable<void>
{
    m_readingOperator = false;
    co_await readOperatorRecords();
    m_resuming = false;
}

//! Reads a snapshot apart from the follower, whose read may be under way on a connection that is
//! silent. One such read at a time.
auto Node::readOperatorRecords() -> asio::awaitable<void>
{
    if (std::exchange(m_readingOperator, true))
        co_return;
    const auto snapshot = co_await m_store.newest(platform::OPERATOR_TOPIC);
    const auto now = process::clock::now();
    m_readingOperator = false;
    if (!snapshot.ok())
        co_return;
    auto keys = std::set<std::string>();
    for (const auto &record : snapshot->records) {
        keys.insert(record.key);
        applyOperatorRecord(record, now);
    }
    endEvacuations(keys, snapshot->end);
}

//! Reads the list of servers as it is now. False if the log does not answer in time.
auto Node::refreshServers() -> asio::awaitable<bool>
{
    const auto needed = process::clock::now();
    m_serverFollower.readNow();
    while (m_serverFollower.currentAsOf() < needed) {
        if (process::clock::now() - needed >= REFRESH_TIME)
            co_return false;
        co_await process::clock::pauseFor(REFRESH_CHECK);
    }
    co_return true;
}

auto Node::housekeeping() -> asio::awaitable<void>
{
    auto timer = asio::steady_timer(m_runtime.context());
    m_lastTick = process::clock::now();
    while (true) {
        timer.expires_after(HOUSEKEEPING);
        co_await timer.async_wait(USE_TUPLE);
        const auto now = process::clock::now();
        checkPause(now);
        logging::flush();
        m_callerGuard.report(now);
        m_servers.expire(now);
        m_suspects.expire(now);
        m_heldAnswerBytes.set(static_cast<double>(m_heldAnswers.budget().held()));
        m_unreadAnswers.set(static_cast<double>(m_heldAnswers.disconnectedCount()));
        if (m_health.limits().needsUpdate(now))
            m_health.limits().update(m_membership.memberNames(now), now);
        m_membership.setServing(isReady());
        m_batches.forget(m_trueTime.milliseconds(now)
                         - base::toMilliseconds(m_settings.resultMemory * 2));
    }
}

auto Node::reload() -> void
{
    logging::info("node.reloaded", { { "note", "the platform's addresses hold until a restart" } });
}

auto Node::terminate() -> void
{
    logging::info("node.leaving", { { "exchanges", m_callerServer->activeExchanges() } });
    m_terminating = true;
    m_membership.setServing(false);
    m_callerServer->announceClose();
    const auto stay = std::chrono::duration_cast<base::Duration>(m_settings.grace * GRACE_SHARE);
    const auto now = process::clock::now();
    m_shutdownGate.begin(now, now + stay);
    asio::co_spawn(m_runtime.context(), shutDown(), logging::LogTaskFailure("node.shutdown"));
}

//! Returns once no call of a caller is under way, not before \a earliest and at \a latest.
auto Node::waitForQuiet(base::TimePoint earliest, base::TimePoint latest) -> asio::awaitable<void>
{
    while (true) {
        const auto now = process::clock::now();
        const auto quiet = m_callerServer->activeExchanges() == 0;
        if (now >= latest || (quiet && now >= earliest))
            co_return;
        co_await process::clock::pauseFor(LOOK_FOR_QUIET);
    }
}

auto Node::shutDown() -> asio::awaitable<void>
{
    const auto startedAt = process::clock::now();
    const auto after = [&](double share) {
        return startedAt + std::chrono::duration_cast<base::Duration>(m_settings.grace * share);
    };
    co_await m_conductor.leave(after(DUTY_SHARE));
    co_await waitForQuiet(startedAt + LEAST_STAY, after(TAKING_SHARE));
    m_callerServer->drain();
    co_await waitForQuiet(startedAt, m_shutdownGate.limit(after(GRACE_SHARE)));
    m_shutdownGate.endCalls();
    co_await waitForQuiet(startedAt, after(GRACE_SHARE));
    logging::info("node.stopped",
                  { { "exchanges", m_callerServer->activeExchanges() },
                    { "after_ms", base::toMilliseconds(process::clock::now() - startedAt) } });
    logging::flush();
    m_runtime.stop();
}

} // namespace nutmegplank::app::node
