#include "request/forward/forwarder.h"

#include <boost/asio.hpp>

#include "base/hash.h"
#include "base/status.h"
#include "base/text.h"
#include "process/logging/logging.h"

namespace nutmegplank::request::forward {

namespace {

namespace asio = boost::asio;
namespace http = connection::http;
namespace logging = process::logging;
using process::health::ColdRule;
using process::servers::Server;
using version::routing::RouteKind;

constexpr auto USE_TUPLE = asio::as_tuple(asio::use_awaitable);
//! While no server may get a request, how often it is looked again.
constexpr auto LOOK_AGAIN = std::chrono::milliseconds(8);
//! A request without an offer is refused after this part of its target, so that its caller may try
//! elsewhere in time.
constexpr auto OFFER_PART = 5;
//! An idempotent request leaves its server after this many times its target, if there is time left
//! for another attempt of the same length.
constexpr auto PATIENCE_FACTOR = 2;
constexpr auto SHORTEST_ATTEMPT = std::chrono::milliseconds(250);
//! Refusals of full servers that are followed within one request.
constexpr auto MOST_REFUSALS = std::size_t(6);
//! What remains of the caller's time for the answer's way back.
constexpr auto ANSWER_MARGIN = std::chrono::milliseconds(15);
constexpr auto LATENCY_SMOOTHING = 5;
constexpr auto SERVER_ERROR = 500U;

auto mayRepeat(const version::routing::Route &route) -> bool
{
    return route.kind == RouteKind::Idempotent;
}

auto isStream(const version::routing::Route &route) -> bool
{
    return route.kind == RouteKind::Stream;
}

} // namespace

auto ForwardHandle::cancel() -> void
{
    m_cancelled = true;
    if (m_connection != nullptr)
        m_connection->close();
}

auto ForwardHandle::attach(connection::backend::ConnectionPtr connection) -> void
{
    m_connection = std::move(connection);
    if (m_cancelled)
        m_connection->close();
}

Forwarder::Forwarder(ForwarderParts parts)
    : m_parts(std::move(parts))
    , m_attempts(m_parts.metrics.counter("nutmegplank_attempts_total",
                                         "Requests sent to backend servers."))
    , m_attemptSeconds(m_parts.metrics.distribution("nutmegplank_attempt_seconds",
                                                    "Duration of attempts with an answer."))
{ }

auto Forwarder::coldRule(const std::string &service) const -> ColdRule
{
    const auto table = m_parts.routing();
    const auto *found = table == nullptr ? nullptr : table->findService(service);
    if (found == nullptr)
        return {};
    // The bound holds for all machines together; each takes its share.
    const auto members = std::max<std::size_t>(1, m_parts.memberCount());
    return { found->coldPerSecond / static_cast<double>(members), found->coldStart };
}

auto Forwarder::choose(const ForwardCall &call, const Progress &progress) -> std::optional<Server>
{
    constexpr auto DRAWS = 10000U;
    const auto draw = base::hash64(call.requestId) % DRAWS;
    const auto &service =
        version::routing::pickService(call.route, static_cast<double>(draw) / DRAWS);
    const auto table = m_parts.routing();
    const auto *traits = table == nullptr ? nullptr : table->findService(service);
    const auto members = std::max<std::size_t>(1, m_parts.memberCount());
    const auto connections = traits == nullptr ? 8U : traits->maxConnections;
    const auto now = m_parts.now();
    const auto rule = coldRule(service);
    auto servers = m_parts.servers.usableOf(service);
    auto names = std::vector<std::string>();
    for (const auto *server : servers)
        names.push_back(server->record.id);
    const auto home = base::rendezvousOwner(m_parts.node, names);
    auto candidates = std::vector<ServerCandidate>();
    for (const auto *server : servers) {
        const auto &id = server->record.id;
        auto candidate = ServerCandidate { id };
        const auto outstanding = m_outstanding.find(id);
        candidate.outstanding = outstanding == m_outstanding.end() ? 0 : outstanding->second;
        candidate.limit =
            std::max<std::uint32_t>(2, connections / static_cast<std::uint32_t>(members));
        candidate.startsLeft = m_parts.health.startsLeft(id, server->coldUntil, rule, now);
        const auto latency = m_latency.find(id);
        candidate.latency = latency == m_latency.end() ? base::Duration(0) : latency->second;
        candidate.sameZone = server->record.zone == m_parts.zone;
        candidate.preferred = id == home;
        candidate.tried = progress.tried.contains(id) || progress.full.contains(id);
        candidates.push_back(std::move(candidate));
    }
    const auto picked = pickServer(candidates);
    if (!picked.has_value())
        return std::nullopt;
    return *servers[*picked];
}

auto Forwarder::attemptDeadline(const ForwardCall &call, const Progress &progress) const
    -> base::TimePoint
{
    const auto now = m_parts.now();
    const auto last = progress.sent + 1 >= call.route.maxAttempts || !mayRepeat(call.route);
    if (last)
        return call.deadline;
    const auto patience =
        std::max<base::Duration>(call.route.targetLatency * PATIENCE_FACTOR, SHORTEST_ATTEMPT);
    // Leaving early helps only if another attempt still has its time.
    return call.deadline - now > 2 * patience ? now + patience : call.deadline;
}

auto Forwarder::forward(ForwardCall call, std::shared_ptr<ForwardHandle> handle, IAnswerSink &sink)
    -> asio::awaitable<ForwardResult>
{
    auto result = ForwardResult();
    const auto fingerprint =
        Suspects::fingerprintOf(call.workspace, call.request.target, call.request.body);
    if (m_parts.suspects.condemned(fingerprint, m_parts.now())) {
        result.end = ForwardEnd::Condemned;
        co_return result;
    }
    auto progress = Progress();
    auto offerUntil = m_parts.now() + call.route.targetLatency / OFFER_PART;
    while (!handle->cancelled()) {
        const auto now = m_parts.now();
        if (now + ANSWER_MARGIN >= call.deadline) {
            result.end = progress.mayHaveRun ? ForwardEnd::Expired : ForwardEnd::NotRun;
            result.detail = "no time left";
            co_return result;
        }
        const auto server = choose(call, progress);
        if (!server.has_value()) {
            if (now >= offerUntil || progress.full.size() >= MOST_REFUSALS) {
                result.end = progress.mayHaveRun ? ForwardEnd::Unknown : ForwardEnd::NotRun;
                if (result.detail.empty())
                    result.detail = "no server may get it";
                co_return result;
            }
            auto timer = asio::steady_timer(m_parts.context, LOOK_AGAIN);
            co_await timer.async_wait(USE_TUPLE);
            progress.full.clear();
            continue;
        }
        auto attempted =
            co_await attempt(call, *server, attemptDeadline(call, progress), *handle, sink);
        noteAttempt(call, *server, attempted, now, progress);
        result.server = server->record.id;
        result.attempts = progress.sent;
        result.detail = attempted.detail;
        if (attempted.end == AttemptEnd::SinkGone || handle->cancelled())
            break;
        if (attempted.end == AttemptEnd::Lost && attempted.reset)
            m_parts.suspects.noteCrash(fingerprint, m_parts.now());
        const auto spent = progress.sent >= std::max(1U, call.route.maxAttempts);
        if (attempted.end == AttemptEnd::Answered) {
            const auto failed = attempted.response.status >= SERVER_ERROR;
            if (failed && mayRepeat(call.route) && !spent && !attempted.streamed)
                continue;
            m_parts.suspects.clear(fingerprint);
            result.end = ForwardEnd::Answered;
            result.response = std::move(attempted.response);
            result.streamed = attempted.streamed;
            result.complete = attempted.complete;
            co_return result;
        }
        const auto lost = attempted.end == AttemptEnd::Lost;
        if (lost && (spent || !mayRepeat(call.route))) {
            result.end = m_parts.now() + ANSWER_MARGIN >= call.deadline ? ForwardEnd::Expired
                                                                        : ForwardEnd::Unknown;
            co_return result;
        }
        if (lost)
            offerUntil = m_parts.now() + call.route.targetLatency;
    }
    result.end = ForwardEnd::CallerGone;
    co_return result;
}

auto Forwarder::noteAttempt(const ForwardCall &call, const Server &server, const Attempt &attempt,
                            base::TimePoint startedAt, Progress &progress) -> void
{
    const auto &id = server.record.id;
    const auto now = m_parts.now();
    const auto latency = now - startedAt;
    if (attempt.end != AttemptEnd::Answered)
        logging::info("request.attempt_ended",
                      { { "request", call.requestId },
                        { "server", id },
                        { "end", base::nameOf(ATTEMPT_END_NAMES, attempt.end) },
                        { "detail", attempt.detail },
                        { "took_ms", base::toMilliseconds(latency) },
                        { "record_age_ms", base::toMilliseconds(now - server.heardAt) } });
    switch (attempt.end) {
    case AttemptEnd::Answered: {
        m_parts.health.noteAnswer(id);
        auto &smoothed = m_latency[id];
        smoothed =
            smoothed.count() == 0 ? latency : smoothed + (latency - smoothed) / LATENCY_SMOOTHING;
        m_attemptSeconds.record(latency);
        break;
    }
    case AttemptEnd::NotRun:
        m_parts.health.noteFull(id, now);
        progress.full.insert(id);
        return;
    case AttemptEnd::Unreachable:
        m_parts.health.noteLost(id, coldRule(server.record.service), now);
        progress.full.insert(id);
        return;
    case AttemptEnd::Lost:
        m_parts.health.noteLost(id, coldRule(server.record.service), now);
        break;
    case AttemptEnd::SinkGone:
        break;
    }
    progress.mayHaveRun = true;
    ++progress.sent;
    progress.tried.insert(id);
    m_parts.onRun(call.workspace);
}

auto Forwarder::attempt(const ForwardCall &call, const Server &server, base::TimePoint until,
                        ForwardHandle &handle, IAnswerSink &sink) -> asio::awaitable<Attempt>
{
    const auto &id = server.record.id;
    auto pool = m_parts.pools.pool(id, server.record.endpoint);
    ++m_outstanding[id];
    m_parts.health.noteStart(id, m_parts.now());
    const auto repeatable = mayRepeat(call.route) ? connection::backend::Repeatable::Yes
                                                  : connection::backend::Repeatable::No;
    auto connection = co_await pool->acquire(repeatable, m_parts.now());
    auto result = Attempt();
    if (!connection.ok()) {
        result.end = AttemptEnd::Unreachable;
        result.detail = base::describe(connection.status());
    } else if (!handle.cancelled()) {
        handle.attach(*connection);
        m_attempts.add();
        auto request = call.request;
        auto envelope = serverprotocol::Envelope { id, call.workspace };
        envelope.timeLeft = call.deadline - m_parts.now();
        m_parts.protocol.seal(request, envelope);
        result = co_await exchange(call, **connection, std::move(request), until, sink);
        handle.detach();
        const auto whole = result.end == AttemptEnd::NotRun
            || (result.end == AttemptEnd::Answered && result.complete);
        if (whole)
            pool->release(std::move(*connection), m_parts.now());
        else
            (*connection)->close();
    } else {
        pool->release(std::move(*connection), m_parts.now());
        result.end = AttemptEnd::SinkGone;
    }
    --m_outstanding[id];
    co_return result;
}

auto Forwarder::exchange(const ForwardCall &call, http::IHttpConnection &connection,
                         http::Request request, base::TimePoint until, IAnswerSink &sink)
    -> asio::awaitable<Attempt>
{
    const auto left = [&] { return std::max(base::Duration(1000), until - m_parts.now()); };
    auto result = Attempt();
    const auto lost = [&result](const absl::Status &status) {
        result.end = AttemptEnd::Lost;
        result.reset = status.code() != absl::StatusCode::kDeadlineExceeded;
        result.detail = base::describe(status);
        return result;
    };
    const auto sent = co_await connection.send(request, left());
    if (!sent.ok())
        co_return lost(sent);
    auto head = co_await connection.readHead(left());
    if (!head.ok())
        co_return lost(head.status());
    const auto meaning = m_parts.protocol.readHead(*head);
    if (!meaning.requestId.empty() && meaning.requestId != call.requestId) {
        result.detail = "the answer belongs to another request";
        co_return result;
    }
    auto answer = co_await readAnswer(call, connection, std::move(*head), until, sink);
    if ((meaning.notRun || meaning.wrongServer) && answer.end == AttemptEnd::Answered) {
        answer.end = AttemptEnd::NotRun;
        answer.detail = base::concat("refused with status ", answer.response.status);
    }
    if (!meaning.notRun && !meaning.wrongServer && !meaning.fromServer
        && answer.end == AttemptEnd::Answered) {
        answer.end = AttemptEnd::Lost;
        answer.detail = "the answer bears no stamp of a server";
    }
    co_return answer;
}

auto Forwarder::readAnswer(const ForwardCall &call, http::IHttpConnection &connection,
                           http::Response head, base::TimePoint until, IAnswerSink &sink)
    -> asio::awaitable<Attempt>
{
    const auto left = [&] { return std::max(base::Duration(1000), until - m_parts.now()); };
    auto result = Attempt();
    result.end = AttemptEnd::Answered;
    result.streamed = isStream(call.route) && head.status < 300;
    result.response = std::move(head);
    if (result.streamed) {
        const auto begun = co_await sink.begin(result.response);
        if (!begun.ok()) {
            result.end = AttemptEnd::SinkGone;
            co_return result;
        }
    }
    while (true) {
        auto part = co_await connection.readBody(left());
        if (!part.ok()) {
            result.detail = base::describe(part.status());
            result.complete = false;
            if (!result.streamed)
                result.end = AttemptEnd::Lost;
            co_return result;
        }
        if (!part->has_value())
            co_return result;
        if (!result.streamed) {
            result.response.body += **part;
            continue;
        }
        const auto written = co_await sink.write(std::move(**part));
        if (!written.ok()) {
            result.end = AttemptEnd::SinkGone;
            co_return result;
        }
    }
}

} // namespace nutmegplank::request::forward
