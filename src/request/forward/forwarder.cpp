#include "request/forward/forwarder.h"

#include <array>
#include <tuple>

#include <boost/asio.hpp>

#include "base/hash.h"
#include "base/status.h"
#include "base/text.h"
#include "process/logging/logging.h"
#include "process/logging/taskfailure.h"
#include "request/forward/answerroom.h"
#include "request/forward/evenload.h"
#include "request/forward/servicechoice.h"
#include "request/serverprotocol/headobservation.h"

namespace nutmegplank::request::forward {

namespace {

namespace asio = boost::asio;
namespace http = connection::http;
namespace logging = process::logging;
using process::health::ColdRule;
using process::servers::Server;
using version::routing::RouteKind;

constexpr auto USE_TUPLE = asio::as_tuple(asio::use_awaitable);
//! Interval at which the choice is repeated while no server can take the request.
constexpr auto SELECTION_RETRY_INTERVAL = std::chrono::milliseconds(8);
//! A request that no server can take is refused after its target latency divided by this, so that
//! the caller has time left to try elsewhere. After a lost attempt the whole target latency is
//! allowed.
constexpr auto SELECTION_TIMEOUT_DIVISOR = 5;
//! An attempt of an idempotent request is abandoned after this multiple of its target latency if
//! the deadline leaves time for another attempt of the same length.
constexpr auto ATTEMPT_TIMEOUT_FACTOR = 2;
constexpr auto MIN_ATTEMPT_TIMEOUT = std::chrono::milliseconds(250);
//! A request is given up when this many servers have refused it or were unreachable since the last
//! wait for a server.
constexpr auto MAX_UNAVAILABLE_SERVERS = std::size_t(6);
//! Part of the caller's time that is reserved for returning the answer.
constexpr auto ANSWER_MARGIN = std::chrono::milliseconds(15);
//! The smoothed latency moves by the difference to a new sample divided by this.
constexpr auto LATENCY_SMOOTHING = 5;
//! A whole answer of known length is passed on as it arrives from this size on. Until then it can
//! be replaced by that of another attempt.
constexpr auto PASS_ON_BYTES = std::size_t(256 * 1024);
//! Machines come and go within seconds.
constexpr auto HOME_UPDATE = std::chrono::seconds(1);
constexpr auto FIRST_REDIRECTION = 300U;
constexpr auto SERVER_ERROR = 500U;
//! Looks at a server that broke a connection; the last after which a process that is slow to end
//! has closed its port.
constexpr auto PROCESS_CHECKS =
    std::array { std::chrono::milliseconds(20), std::chrono::milliseconds(250),
                 std::chrono::milliseconds(1000) };
constexpr auto PROCESS_CHECK_TIME = std::chrono::milliseconds(400);

auto isRetryable(const version::routing::Route &route) -> bool
{
    return route.kind == RouteKind::Idempotent;
}

auto isStream(const version::routing::Route &route) -> bool
{
    return route.kind == RouteKind::Stream;
}

//! The head of an answer that may be passed on before its end: a server's success, which nothing
//! can replace any more.
auto successHead(const serverprotocol::OwnResponse &own)
    -> std::optional<serverprotocol::ServerHead>
{
    auto head = serverprotocol::ServerHead::verify(own);
    if (head.has_value() && head->status() >= FIRST_REDIRECTION)
        return std::nullopt;
    return head;
}

} // namespace

Forwarder::Forwarder(ForwarderDependencies dependencies)
    : m_dependencies(std::move(dependencies))
    , m_streamVersions(m_dependencies.servers, m_dependencies.health, m_dependencies.streamOrigins)
    , m_homeChoices(m_dependencies.metrics.counter("nutmegplank_even_choices_total",
                                                   "Choices of a server where load is evened.",
                                                   { { "server", "home" } }))
    , m_drawnChoices(m_dependencies.metrics.counter("nutmegplank_even_choices_total",
                                                    "Choices of a server where load is evened.",
                                                    { { "server", "drawn" } }))
    , m_attempts(m_dependencies.metrics.counter("nutmegplank_attempts_total",
                                                "Requests sent to backend servers."))
    , m_attemptSeconds(m_dependencies.metrics.distribution("nutmegplank_attempt_seconds",
                                                           "Duration of attempts with an answer."))
{ }

auto Forwarder::coldStartRule(const std::string &service) const -> ColdRule
{
    const auto table = m_dependencies.routing();
    const auto *found = table == nullptr ? nullptr : table->findService(service);
    if (found == nullptr)
        return {};
    // The configured rate is for all machines together; each uses an equal share.
    const auto machineCount = std::max<std::size_t>(1, m_dependencies.memberCount());
    return { found->coldRequestsPerSecond / static_cast<double>(machineCount), found->coldStart };
}

auto Forwarder::waitForAllowance(const ForwardCall &call) -> base::Duration
{
    const auto now = m_dependencies.now();
    auto &limits = m_dependencies.health.limits();
    auto shortest = std::optional<base::Duration>();
    for (const auto *server : m_dependencies.servers.usableOf(chooseService(call))) {
        const auto &id = server->record.id;
        const auto wait = limits.untilNextStart(id, now);
        if (wait.count() == 0)
            return base::Duration(0);
        limits.noteHeldBack(id, now);
        shortest = std::min(shortest.value_or(wait), wait);
    }
    return shortest.value_or(base::Duration(0));
}

auto Forwarder::spreadsEvenly(const std::string &service, bool isEngine,
                              const std::vector<const Server *> &servers) -> bool
{
    auto slots = std::uint64_t(0);
    for (const auto *server : servers)
        slots += server->record.slots;
    const auto machineCount = m_dependencies.memberCount();
    const auto isEven = !isEngine && needsEvenLoad(slots, machineCount);
    const auto changed =
        isEven ? m_evenServices.insert(service).second : m_evenServices.erase(service) > 0;
    if (changed)
        logging::info("choice.even_load",
                      { { "service", service },
                        { "even", isEven },
                        { "slots", slots },
                        { "machines", machineCount } });
    return isEven;
}

auto Forwarder::homeOf(const std::string &service, const std::vector<std::string> &servers,
                       base::TimePoint now) -> std::string
{
    auto &home = m_homes[service];
    if (home.servers == servers && now - home.computedAt < HOME_UPDATE)
        return home.server;
    auto server = homeServer(m_dependencies.node, m_dependencies.memberNames(), servers);
    if (server != home.server)
        logging::info("choice.home", { { "service", service }, { "server", server } });
    home = Home { servers, std::move(server), now };
    return home.server;
}

auto Forwarder::chooseServer(const ForwardCall &call, const Progress &progress)
    -> std::optional<Server>
{
    const auto &service = chooseService(call);
    const auto table = m_dependencies.routing();
    const auto *serviceSettings = table == nullptr ? nullptr : table->findService(service);
    const auto machineCount = std::max<std::size_t>(1, m_dependencies.memberCount());
    const auto connectionLimit = serviceSettings == nullptr ? 8U : serviceSettings->maxConnections;
    const auto now = m_dependencies.now();
    const auto rule = coldStartRule(service);
    auto servers = m_dependencies.servers.usableOf(service);
    auto serverIds = std::vector<std::string>();
    for (const auto *server : servers)
        serverIds.push_back(server->record.id);
    const auto isEngine = serviceSettings != nullptr && serviceSettings->engine.has_value();
    const auto isEven = spreadsEvenly(service, isEngine, servers);
    const auto preferredServer = isEven ? homeOf(service, serverIds, now)
                                        : base::rendezvousOwner(m_dependencies.node, serverIds);
    auto candidates = std::vector<ServerCandidate>();
    for (const auto *server : servers) {
        const auto &id = server->record.id;
        auto candidate = ServerCandidate { id };
        const auto outstanding = m_outstanding.find(id);
        candidate.outstanding = outstanding == m_outstanding.end() ? 0 : outstanding->second;
        candidate.limit =
            std::max<std::uint32_t>(2, connectionLimit / static_cast<std::uint32_t>(machineCount));
        candidate.startsLeft = m_dependencies.health.startsLeft(id, server->coldUntil, rule, now);
        const auto latency = m_latency.find(id);
        candidate.latency = latency == m_latency.end() ? base::Duration(0) : latency->second;
        if (isEven)
            candidate.latency = m_recentLatency[service].expected(id, now);
        candidate.sameZone = server->record.zone == m_dependencies.zone;
        candidate.preferred = id == preferredServer;
        candidate.tried = progress.tried.contains(id) || progress.unavailable.contains(id)
            || !m_streamVersions.maySend(call, *server)
            || !m_dependencies.health.mayTake(id, call.size, now)
            || !m_requestBytes.fits(id, call.request.body.size(), machineCount);
        candidates.push_back(std::move(candidate));
    }
    const auto draw = base::hash64(call.requestId, progress.sent);
    const auto pickedIndex = isEven ? pickServerEvenly(candidates, draw) : pickServer(candidates);
    if (!pickedIndex.has_value())
        return std::nullopt;
    if (isEven)
        (candidates[*pickedIndex].preferred ? m_homeChoices : m_drawnChoices).add();
    return *servers[*pickedIndex];
}

auto Forwarder::attemptDeadline(const ForwardCall &call, const Progress &progress) const
    -> base::TimePoint
{
    const auto now = m_dependencies.now();
    const auto isLastAttempt =
        progress.sent + 1 >= call.route.maxAttempts || !isRetryable(call.route);
    if (isLastAttempt)
        return call.deadline;
    const auto attemptTimeout = std::max<base::Duration>(
        call.route.targetLatency * ATTEMPT_TIMEOUT_FACTOR, MIN_ATTEMPT_TIMEOUT);
    // An attempt is cut short only if a retry of the same length fits before the deadline.
    return call.deadline - now > 2 * attemptTimeout ? now + attemptTimeout : call.deadline;
}

auto Forwarder::forward(ForwardCall call, std::shared_ptr<ForwardHandle> handle, IAnswerSink &sink)
    -> asio::awaitable<ForwardResult>
{
    auto result = ForwardResult();
    const auto fingerprint = PoisonRequestDetector::fingerprintOf(
        call.caller.workspace, call.request.target, call.request.body);
    if (m_dependencies.poisonRequests.isPoison(fingerprint, m_dependencies.now())) {
        result.end = ForwardOutcome::Quarantined;
        co_return result;
    }
    auto progress = Progress();
    auto refusal = co_await m_streamVersions.prepare(call);
    if (refusal.has_value())
        co_return std::move(*refusal);
    auto selectionDeadline =
        m_dependencies.now() + call.route.targetLatency / SELECTION_TIMEOUT_DIVISOR;
    while (!handle->cancelled()) {
        const auto now = m_dependencies.now();
        if (now + ANSWER_MARGIN >= call.deadline) {
            result.end = progress.mayHaveRun ? ForwardOutcome::Expired : ForwardOutcome::NotRun;
            result.detail = "no time left";
            co_return result;
        }
        if (handle->stopped()) {
            result.end = progress.mayHaveRun ? ForwardOutcome::Unknown : ForwardOutcome::NotRun;
            result.detail = "this machine stops";
            co_return result;
        }
        if (m_dependencies.poisonRequests.isPoison(fingerprint, now)) {
            result.end =
                progress.mayHaveRun ? ForwardOutcome::Unknown : ForwardOutcome::Quarantined;
            co_return result;
        }
        const auto server = chooseServer(call, progress);
        if (!server.has_value()) {
            const auto limitedFor = waitForAllowance(call);
            if (now + limitedFor >= selectionDeadline
                || progress.unavailable.size() >= MAX_UNAVAILABLE_SERVERS) {
                result.retryAfter = limitedFor;
                result.end = progress.mayHaveRun ? ForwardOutcome::Unknown : ForwardOutcome::NotRun;
                if (result.detail.empty())
                    result.detail = "no server may get it";
                co_return result;
            }
            auto timer = asio::steady_timer(m_dependencies.context, SELECTION_RETRY_INTERVAL);
            co_await timer.async_wait(USE_TUPLE);
            progress.unavailable.clear();
            continue;
        }
        if (m_streamVersions.mustRecord(call, *server)) {
            auto failure = co_await m_streamVersions.record(call, *server, progress.mayHaveRun);
            if (failure.has_value())
                co_return std::move(*failure);
            // Other requests may have used up meanwhile what the server could take.
            if (!call.software.empty())
                continue;
        }
        auto attemptResult =
            co_await attempt(call, *server, attemptDeadline(call, progress), *handle, sink);
        noteAttempt(call, *server, attemptResult, now, progress);
        result.server = server->record.id;
        result.attempts = progress.sent;
        result.detail = attemptResult.detail;
        if (attemptResult.end == AttemptOutcome::SinkGone || handle->cancelled())
            break;
        // A connection that this process closed says nothing of the server.
        if (handle->stopped() && attemptResult.end != AttemptOutcome::Answered)
            continue;
        noteCrashEvidence(fingerprint, *server, attemptResult, now);
        const auto attemptsExhausted = progress.sent >= std::max(1U, call.route.maxAttempts);
        if (attemptResult.end == AttemptOutcome::Answered) {
            const auto failed = attemptResult.response.status >= SERVER_ERROR;
            if (failed && isRetryable(call.route) && !attemptsExhausted && !attemptResult.streamed)
                continue;
            if (isStream(call.route) && attemptResult.streamed && !attemptResult.complete)
                co_await m_streamVersions.verify(call, *server);
            result.end = ForwardOutcome::Answered;
            result.response = std::move(attemptResult.response);
            result.held = std::move(attemptResult.held);
            result.streamed = attemptResult.streamed;
            result.complete = attemptResult.complete;
            co_return result;
        }
        if (attemptResult.end == AttemptOutcome::NoRoom) {
            result.end = ForwardOutcome::Unknown;
            co_return result;
        }
        const auto lost = attemptResult.end == AttemptOutcome::Lost;
        const auto tooLarge = attemptResult.end == AttemptOutcome::TooLarge;
        if (tooLarge || (lost && (attemptsExhausted || !isRetryable(call.route)))) {
            result.end = m_dependencies.now() + ANSWER_MARGIN >= call.deadline
                ? ForwardOutcome::Expired
                : ForwardOutcome::Unknown;
            co_return result;
        }
        if (lost)
            selectionDeadline = m_dependencies.now() + call.route.targetLatency;
    }
    result.end = ForwardOutcome::CallerGone;
    co_return result;
}

auto Forwarder::noteCrashEvidence(const std::string &fingerprint, const Server &server,
                                  const Attempt &attempt, base::TimePoint sentAt) -> void
{
    auto &requests = m_dependencies.poisonRequests;
    const auto &[id, incarnation] = std::tie(server.record.id, server.record.incarnation);
    const auto now = m_dependencies.now();
    if (attempt.refused)
        requests.noteProcessEnded(id, incarnation, now);
    const auto answered = attempt.end == AttemptOutcome::Answered && attempt.complete;
    if (answered || attempt.end == AttemptOutcome::NotRun)
        requests.noteProcessAlive(id, sentAt);
    if (answered && attempt.response.status < SERVER_ERROR)
        requests.recordAnswer(fingerprint, now);
    // One that leaves may end with requests at work.
    const auto *current = m_dependencies.servers.find(id);
    if (!attempt.reset || current == nullptr || !m_dependencies.servers.usable(*current))
        return;
    requests.recordLoss(fingerprint, id, incarnation, now);
    if (m_watched.insert(id).second)
        asio::co_spawn(m_dependencies.context, watchProcess(server),
                       logging::LogTaskFailure("forward.watch_process"));
}

auto Forwarder::watchProcess(Server server) -> asio::awaitable<void>
{
    const auto &id = server.record.id;
    auto options = http::ConnectOptions();
    options.timeout = PROCESS_CHECK_TIME;
    auto timer = asio::steady_timer(m_dependencies.context);
    for (const auto pause : PROCESS_CHECKS) {
        timer.expires_after(pause);
        co_await timer.async_wait(USE_TUPLE);
        const auto connection = co_await http::connect(server.record.endpoint, options);
        if (connection.ok() || !http::isRefused(connection.status()))
            continue;
        m_dependencies.poisonRequests.noteProcessEnded(id, server.record.incarnation,
                                                       m_dependencies.now());
        break;
    }
    m_watched.erase(id);
}

auto Forwarder::noteAttempt(const ForwardCall &call, const Server &server, const Attempt &attempt,
                            base::TimePoint startedAt, Progress &progress) -> void
{
    const auto &id = server.record.id;
    const auto now = m_dependencies.now();
    const auto latency = now - startedAt;
    if (attempt.end != AttemptOutcome::Answered)
        logging::info("request.attempt_ended",
                      { { "request", call.requestId },
                        { "server", id },
                        { "end", base::nameOf(ATTEMPT_OUTCOME_NAMES, attempt.end) },
                        { "detail", attempt.detail },
                        { "took_ms", base::toMilliseconds(latency) },
                        { "record_age_ms", base::toMilliseconds(now - server.heardAt) } });
    switch (attempt.end) {
    case AttemptOutcome::Answered: {
        m_dependencies.health.noteAnswer(id);
        // Of an answer that was passed on, the caller's reading took a part.
        if (attempt.streamed && !isStream(call.route))
            break;
        m_recentLatency[server.record.service].note(id, latency, now);
        auto &smoothed = m_latency[id];
        smoothed =
            smoothed.count() == 0 ? latency : smoothed + (latency - smoothed) / LATENCY_SMOOTHING;
        m_attemptSeconds.record(latency);
        break;
    }
    case AttemptOutcome::NotRun:
        if (!attempt.faultsRequest)
            m_dependencies.health.noteRefused(id, call.size, startedAt, now);
        progress.unavailable.insert(id);
        return;
    case AttemptOutcome::Unreachable:
        m_dependencies.health.noteUnreachable(id, coldStartRule(server.record.service), now);
        progress.unavailable.insert(id);
        return;
    case AttemptOutcome::Lost:
        if (!attempt.faultsRequest)
            m_dependencies.health.noteLost(id, coldStartRule(server.record.service), now);
        break;
    case AttemptOutcome::NoRoom:
    case AttemptOutcome::TooLarge:
    case AttemptOutcome::SinkGone:
        break;
    }
    progress.mayHaveRun = true;
    ++progress.sent;
    progress.tried.insert(id);
    m_dependencies.onAttemptRun(call.caller.workspace);
}

auto Forwarder::attempt(ForwardCall &call, const Server &server, base::TimePoint until,
                        ForwardHandle &handle, IAnswerSink &sink) -> asio::awaitable<Attempt>
{
    const auto &id = server.record.id;
    auto pool = m_dependencies.pools.pool(id, server.record.endpoint);
    ++m_outstanding[id];
    m_requestBytes.begin(id, call.request.body.size());
    m_dependencies.health.noteStart(id, m_dependencies.now());
    const auto repeatable = isRetryable(call.route) ? connection::backend::Repeatable::Yes
                                                    : connection::backend::Repeatable::No;
    auto connection = co_await pool->acquire(repeatable, m_dependencies.now());
    auto result = Attempt();
    if (!connection.ok()) {
        result.end = AttemptOutcome::Unreachable;
        result.refused = http::isRefused(connection.status());
        result.detail = base::describe(connection.status());
    } else if (handle.stopped()) {
        pool->release(std::move(*connection), m_dependencies.now());
        result.end = AttemptOutcome::NotRun;
        result.faultsRequest = true;
    } else if (!handle.cancelled()) {
        handle.attach(*connection);
        m_attempts.add();
        // The body is lent to the attempt, as a copy of a large one may not fit into memory.
        auto body = std::exchange(call.request.body, {});
        auto request = call.request;
        request.body = std::move(body);
        auto envelope = serverprotocol::Envelope { id, call.caller.workspace };
        envelope.timeLeft = call.deadline - m_dependencies.now();
        m_dependencies.protocol.addEnvelope(request, envelope);
        result = co_await exchange(call, id, **connection, request, until, sink);
        call.request.body = std::move(request.body);
        handle.detach();
        // A second copy of a refusal must not be taken for the answer to a request that runs once.
        const auto isUsable = (result.end == AttemptOutcome::NotRun && isRetryable(call.route))
            || (result.end == AttemptOutcome::Answered && result.complete);
        if (isUsable && !result.skippedOthers)
            pool->release(std::move(*connection), m_dependencies.now());
        else
            (*connection)->close();
    } else {
        pool->release(std::move(*connection), m_dependencies.now());
        result.end = AttemptOutcome::SinkGone;
    }
    --m_outstanding[id];
    m_requestBytes.end(id, call.request.body.size());
    co_return result;
}

auto Forwarder::exchange(const ForwardCall &call, const std::string &serverId,
                         http::IHttpConnection &connection, const http::Request &request,
                         base::TimePoint until, IAnswerSink &sink) -> asio::awaitable<Attempt>
{
    const auto sentAt = m_dependencies.now();
    // At least 1 ms; the unit is microseconds.
    const auto remainingTime = [&] {
        return std::max(base::Duration(1000), until - m_dependencies.now());
    };
    auto result = Attempt();
    const auto lost = [&result](const absl::Status &status) {
        const auto tooLarge = http::isTooLarge(status);
        result.end = tooLarge ? AttemptOutcome::TooLarge : AttemptOutcome::Lost;
        result.reset = !tooLarge && status.code() != absl::StatusCode::kDeadlineExceeded;
        result.detail = base::describe(status);
        return std::move(result);
    };
    const auto sent = co_await connection.send(request, remainingTime());
    if (!sent.ok())
        co_return lost(sent);
    auto response = co_await serverprotocol::readOwnResponse(connection, m_dependencies.protocol,
                                                             call.requestId, remainingTime);
    if (!response.ok())
        co_return lost(response.status());
    const auto metadata = response->metadata;
    const auto skippedOthers = response->skippedOthers;
    serverprotocol::noteServerHead({ m_dependencies.servers, m_dependencies.health.limits() },
                                   serverId, metadata, sentAt, m_dependencies.now());
    if (metadata.isTaken())
        m_dependencies.health.noteTaken(serverId, call.size);
    if (!metadata.notRun && !metadata.wrongServer && !metadata.fromServer) {
        result.detail = "the answer bears no stamp of a server";
        result.faultsRequest = metadata.faultsRequest();
        co_return result;
    }
    auto answer = co_await readAnswer(call, connection, std::move(*response), until, sink);
    answer.skippedOthers = skippedOthers;
    answer.faultsRequest = metadata.faultsRequest();
    if ((metadata.notRun || metadata.wrongServer) && answer.end == AttemptOutcome::Answered) {
        answer.end = AttemptOutcome::NotRun;
        answer.detail = base::concat("refused with status ", answer.response.status);
    }
    co_return answer;
}

auto Forwarder::readAnswer(const ForwardCall &call, http::IHttpConnection &connection,
                           serverprotocol::OwnResponse own, base::TimePoint until,
                           IAnswerSink &sink) -> asio::awaitable<Attempt>
{
    // At least 1 ms; the unit is microseconds.
    const auto remainingTime = [&] {
        return std::max(base::Duration(1000), until - m_dependencies.now());
    };
    const auto head = successHead(own);
    // A plain answer without a length may never end, which must show before its caller is told of a
    // success.
    const auto canPassOn = head.has_value() && head->hasLength();
    auto result = Attempt();
    result.end = AttemptOutcome::Answered;
    result.held = m_dependencies.heldAnswers.newHolder();
    result.streamed = isStream(call.route) && head.has_value();
    result.response = std::move(own.head);
    if (result.streamed) {
        const auto headWritten = co_await sink.begin(*head);
        if (!headWritten.ok()) {
            result.end = AttemptOutcome::SinkGone;
            co_return result;
        }
    }
    while (true) {
        auto part = co_await connection.readBody(remainingTime());
        if (!part.ok()) {
            result.detail = base::describe(part.status());
            result.complete = false;
            const auto tooLarge = http::isTooLarge(part.status());
            result.reset = !tooLarge && part.status().code() != absl::StatusCode::kDeadlineExceeded;
            if (!result.streamed)
                result.end = tooLarge ? AttemptOutcome::TooLarge : AttemptOutcome::Lost;
            co_return result;
        }
        if (!part->has_value())
            co_return result;
        if (result.streamed) {
            const auto bodyWritten = co_await sink.write(std::move(**part));
            if (bodyWritten.ok())
                continue;
            result.end = AttemptOutcome::SinkGone;
            co_return result;
        }
        auto &body = result.response.body;
        const auto hasRoom = co_await waitForRoom(m_dependencies.heldAnswers, result.held,
                                                  body.size() + (*part)->size(), until);
        if (!hasRoom) {
            result.end = AttemptOutcome::NoRoom;
            result.detail = "no room for the answer";
            co_return result;
        }
        body += **part;
        if (!canPassOn || body.size() < PASS_ON_BYTES)
            continue;
        // There is no other attempt from here on.
        until = call.deadline;
        result.streamed = true;
        auto begun = std::exchange(body, std::string());
        auto written = co_await sink.begin(*head);
        if (written.ok())
            written = co_await sink.write(std::move(begun));
        if (!written.ok()) {
            result.end = AttemptOutcome::SinkGone;
            co_return result;
        }
        result.held.resize(0);
    }
}

} // namespace nutmegplank::request::forward
