#include "request/scoring/scoringrunner.h"

#include <boost/asio.hpp>

#include "base/hash.h"
#include "process/logging/logging.h"
#include "process/logging/taskfailure.h"

namespace nutmegplank::request::scoring {

namespace {

namespace asio = boost::asio;
namespace logging = process::logging;
using process::health::ColdRule;
using process::servers::Server;
using version::routing::Route;
using version::routing::RoutingTable;

//! Share of a cold server's start rate that scoring calls may use. The rest is left for callers'
//! requests, which all machines send.
constexpr auto COLD_START_SHARE = 0.4;
//! The smoothed latency moves by the difference to a new sample divided by this.
constexpr auto LATENCY_SMOOTHING = 5;

auto findRoute(const RoutingTable &table, const version::batch::Scorer &scorer) -> const Route *
{
    return table.findRoute(scorer.host, connection::http::pathOf(scorer.path));
}

//! The same share of the ids goes to a service as of callers' requests.
auto serviceFor(const Route &route, const version::batch::Scorer &scorer) -> const std::string &
{
    constexpr auto BUCKETS = 10000U;
    const auto bucket = base::hash64(scorer.id) % BUCKETS;
    return version::routing::pickService(route, static_cast<double>(bucket) / BUCKETS);
}

auto coldStartRule(const RoutingTable &table, const std::string &service) -> ColdRule
{
    const auto *found = table.findService(service);
    if (found == nullptr)
        return {};
    return { found->coldRequestsPerSecond * COLD_START_SHARE, found->coldStart };
}

} // namespace

ScoringRunner::ScoringRunner(ScoringDependencies dependencies)
    : m_dependencies(std::move(dependencies))
    , m_calls(m_dependencies.metrics.counter("nutmegplank_scoring_calls_total",
                                             "Calls of scorers at backend servers."))
    , m_scored(
          m_dependencies.metrics.counter("nutmegplank_items_scored_total", "Items with a score."))
    , m_scoringSeconds(m_dependencies.metrics.distribution(
          "nutmegplank_item_scoring_seconds", "From an item's complete text to its score."))
{ }

auto ScoringRunner::add(const ScoringKey &key, ScoringJob job) -> void
{
    auto entry = Entry();
    entry.job = std::move(job);
    entry.queuedAt = m_dependencies.now();
    m_entries.emplace(key, std::move(entry));
}

auto ScoringRunner::erase(Entries::iterator entry) -> Entries::iterator
{
    if (entry->second.call != nullptr)
        entry->second.call->cancel();
    return m_entries.erase(entry);
}

auto ScoringRunner::cancel(const ScoringKey &key) -> void
{
    const auto found = m_entries.find(key);
    if (found != m_entries.end())
        erase(found);
}

auto ScoringRunner::cancelBatch(const std::string &batch) -> void
{
    auto entry = m_entries.lower_bound(ScoringKey { batch, 0 });
    while (entry != m_entries.end() && entry->first.batch == batch)
        entry = erase(entry);
}

auto ScoringRunner::cancelAll() -> void
{
    for (auto entry = m_entries.begin(); entry != m_entries.end();)
        entry = erase(entry);
}

auto ScoringRunner::dispatch(const RoutingTable &table) -> void
{
    const auto now = m_dependencies.now();
    auto waiting = std::vector<WaitingCall>();
    auto entries = std::vector<Entries::iterator>();
    for (auto entry = m_entries.begin(); entry != m_entries.end(); ++entry) {
        const auto &[key, state] = *entry;
        if (state.call != nullptr || now < state.notBefore)
            continue;
        const auto *route = findRoute(table, state.job.scorer);
        if (route == nullptr)
            continue;
        waiting.push_back({ entries.size(), serviceFor(*route, state.job.scorer), state.job.dueAt,
                            m_dependencies.unfinishedInGroup(key), state.avoidedServer,
                            ScoringCall::sizeOf(state.job.scorer) });
        entries.push_back(entry);
    }
    if (waiting.empty())
        return;
    auto servers = collectServers(table, waiting);
    const auto assignments = placeCalls(std::move(waiting), servers);
    for (const auto &assignment : assignments) {
        auto &[key, entry] = *entries[assignment.handle];
        start(key, entry, servers[assignment.server], table);
    }
    if (assignments.size() == entries.size())
        return;
    for (const auto &server : servers) {
        if (server.startsLeft == 0)
            m_dependencies.health.limits().noteHeldBack(server.id, now);
    }
}

auto ScoringRunner::collectServers(const RoutingTable &table,
                                   const std::vector<WaitingCall> &waiting) const
    -> std::vector<ScoringServer>
{
    auto services = std::set<std::string>();
    for (const auto &call : waiting)
        services.insert(call.service);
    const auto now = m_dependencies.now();
    auto servers = std::vector<ScoringServer>();
    for (const auto &service : services) {
        const auto rule = coldStartRule(table, service);
        for (const auto *server : m_dependencies.servers.usableOf(service)) {
            const auto &id = server->record.id;
            auto entry = ScoringServer { id, service, server->record.slots };
            entry.startsLeft = m_dependencies.health.startsLeft(id, server->coldUntil, rule, now);
            entry.refusedSizes = m_dependencies.health.refusedSizes(id, now);
            const auto state = m_serverStates.find(id);
            if (state != m_serverStates.end()) {
                entry.running = state->second.running;
                entry.latency = state->second.latency;
            }
            servers.push_back(std::move(entry));
        }
    }
    return servers;
}

auto ScoringRunner::start(const ScoringKey &key, Entry &entry, const ScoringServer &server,
                          const RoutingTable &table) -> void
{
    const auto *known = m_dependencies.servers.find(server.id);
    const auto *route = findRoute(table, entry.job.scorer);
    if (known == nullptr || route == nullptr)
        return;
    const auto now = m_dependencies.now();
    const auto timeLimit =
        callTimeLimit(route->targetLatency, route->timeout, entry.failures.lostCalls);
    auto onHead = [this, id = server.id, now](const serverprotocol::ResponseMetadata &metadata) {
        serverprotocol::noteServerHead({ m_dependencies.servers, m_dependencies.health.limits() },
                                       id, metadata, now, m_dependencies.now());
    };
    entry.call = std::make_shared<ScoringCall>(entry.job.scorer, server.id, timeLimit,
                                               m_dependencies.protocol, std::move(onHead));
    entry.server = server.id;
    entry.startedAt = now;
    entry.maxAttempts = route->maxAttempts;
    auto &state = m_serverStates[server.id];
    ++state.running;
    state.coldRule = coldStartRule(table, server.service);
    m_dependencies.health.noteStart(server.id, now);
    m_calls.add();
    asio::co_spawn(m_dependencies.context, runCall(key, entry.call, *known),
                   logging::LogTaskFailure("scoring.call"));
}

auto ScoringRunner::runCall(ScoringKey key, std::shared_ptr<ScoringCall> call, Server server)
    -> asio::awaitable<void>
{
    const auto startedAt = m_dependencies.now();
    const auto &id = server.record.id;
    const auto outcome = co_await call->run(m_dependencies.pools.pool(id, server.record.endpoint));
    --m_serverStates[id].running;
    noteServer(id, outcome, call->size(), startedAt);
    const auto found = m_entries.find(key);
    if (found != m_entries.end() && found->second.call == call)
        finishCall(found, outcome);
    if (!m_entries.empty())
        m_dependencies.requestDispatch();
}

auto ScoringRunner::noteServer(const std::string &server, const CallOutcome &outcome,
                               const process::health::RequestSize &size, base::TimePoint startedAt)
    -> void
{
    const auto now = m_dependencies.now();
    auto &state = m_serverStates[server];
    switch (outcome.end) {
    case CallEnd::Scored:
    case CallEnd::Failed: {
        m_dependencies.health.noteTaken(server, size);
        const auto duration = now - startedAt;
        state.latency = state.latency.count() == 0
            ? duration
            : state.latency + (duration - state.latency) / LATENCY_SMOOTHING;
        state.answeredAt = now;
        m_dependencies.health.noteAnswer(server);
        return;
    }
    case CallEnd::NotRun:
        m_dependencies.health.noteRefused(server, size, startedAt, now);
        return;
    case CallEnd::WrongServer:
        m_dependencies.health.noteWrongServer(server, now);
        return;
    case CallEnd::Unreachable:
    case CallEnd::Lost:
        // A server that has answered other calls meanwhile lost a response, not its process.
        if (state.answeredAt <= startedAt)
            m_dependencies.health.noteLost(server, state.coldRule, now);
        return;
    case CallEnd::Rejected:
    case CallEnd::Cancelled:
        return;
    }
}

auto ScoringRunner::finishCall(Entries::iterator found, const CallOutcome &outcome) -> void
{
    const auto key = found->first;
    auto &entry = found->second;
    const auto now = m_dependencies.now();
    const auto decision = decideAfterCall(outcome.end, entry.maxAttempts, entry.failures);
    logging::info("scoring.call_ended",
                  { { "batch", version::batch::idOf(key.batch) },
                    { "item", entry.job.itemId },
                    { "scorer", entry.job.scorer.id },
                    { "server", entry.server },
                    { "end", base::nameOf(CALL_END_NAMES, outcome.end) },
                    { "status", outcome.status },
                    { "detail", outcome.detail },
                    { "server_errors", entry.failures.serverErrors },
                    { "lost_calls", entry.failures.lostCalls },
                    { "ran_ms", base::toMilliseconds(now - entry.startedAt) },
                    { "since_text_ms", base::toMilliseconds(now - entry.queuedAt) } });
    if (decision.step == ScoringStep::Retry) {
        entry.call.reset();
        entry.notBefore = now + decision.retryDelay;
        if (decision.avoidServer)
            entry.avoidedServer = entry.server;
        return;
    }
    if (decision.step == ScoringStep::FinishScored) {
        m_scored.add();
        m_scoringSeconds.record(now - entry.queuedAt);
    }
    m_entries.erase(found);
    if (decision.step == ScoringStep::FinishScored)
        m_dependencies.onScored(key, outcome.score);
    else
        m_dependencies.onLost(key, "maximum number of failed scoring calls reached");
}

} // namespace nutmegplank::request::scoring
