#include <boost/asio.hpp>

#include "connection/backend/cleanheaders.h"
#include "connection/backend/probe.h"
#include "connection/http/httpclient.h"
#include "process/dispatch/internal/messages.h"
#include "process/dispatch/internal/serverentry.h"
#include "process/dispatch/internal/shardmetrics.h"
#include "process/dispatch/shardworker.h"
#include "process/logging/logging.h"

// The part of a shard that runs attempts.
namespace nutmegplank::process::dispatch {

namespace {

namespace asio = boost::asio;
using connection::backend::ProbeKind;
using connection::backend::ProbeVerdict;
using request::attempt::AttemptOutcome;

constexpr auto REQUEST_ID_HEADER = "X-Request-Id";
constexpr auto PREFIX_KEY_HEADER = "X-Prefix-Key";
constexpr auto SEND_PAUSE = std::chrono::milliseconds(10);
constexpr auto CANCEL_TIME = std::chrono::seconds(2);
//! Largest body of the answer to a cancellation, which nothing reads.
constexpr auto MAX_CANCEL_ANSWER_BYTES = std::uint64_t(64 * 1024);

auto cancelAtEngine(std::string address, std::string attemptId) -> asio::awaitable<void>
{
    auto request = connection::http::Request();
    request.method = "POST";
    request.target = "/v1/cancel";
    request.headers.push_back({ "Content-Type", "application/json" });
    request.body = boost::json::serialize(boost::json::object { { "request_id", attemptId } });
    auto options = connection::http::ConnectOptions();
    options.bodyBytes = MAX_CANCEL_ANSWER_BYTES;
    (void)co_await connection::http::fetch(address, request, CANCEL_TIME, options);
}

} // namespace

auto ShardWorker::specOf(const Pending &pending) const -> request::attempt::AttemptSpec
{
    const auto &submit = pending.submit;
    auto spec = request::attempt::AttemptSpec();
    auto headers = connection::http::Headers();
    for (const auto &header : submit.headers())
        headers.push_back({ header.name(), header.value() });
    spec.request.headers = connection::backend::cleanHeaders(std::move(headers));
    spec.request.method = submit.method();
    spec.request.target = connection::backend::cleanTarget(submit.target());
    spec.request.body = submit.body();
    spec.idempotent = submit.idempotent();
    spec.stream = submit.stream();
    spec.engine = isEngine();
    spec.deadline = pending.item.deadline;
    spec.progressTime = m_policy.progressTime;
    spec.answerBytes = m_dependencies.answerBytes;
    // An engine tells streams apart by this id, so that a cancellation ends just this attempt.
    const auto id = spec.engine ? submit.attempt_id() : submit.request_id();
    connection::http::removeHeader(spec.request.headers, REQUEST_ID_HEADER);
    spec.request.headers.push_back({ REQUEST_ID_HEADER, id });
    if (spec.engine && !submit.prefix_key().empty())
        spec.request.headers.push_back({ PREFIX_KEY_HEADER, submit.prefix_key() });
    return spec;
}

auto ShardWorker::hooksOf(const RunningPtr &running) -> request::attempt::AttemptHooks
{
    auto hooks = request::attempt::AttemptHooks();
    const auto server = running->server;
    const auto attemptId = running->pending.submit.attempt_id();
    const auto replyLink = running->pending.replyLink;
    hooks.now = m_dependencies.now;
    hooks.onStarted = [this, server, attemptId, replyLink] {
        (void)answer(replyLink, startedMessage(attemptId, server->server().id));
    };
    hooks.onBootId = [this, server](const std::string &bootId) {
        if (server->onBootId(bootId, now()) == ServerNews::Restarted)
            m_prefixes.forget(server->server().id);
    };
    hooks.onLatency = [this, server](base::Duration latency) {
        if (server->limit().onLatency(latency, server->running(), now()))
            logging::info("server.cold",
                          { { "server", server->server().id },
                            { "latency_ms", base::toMilliseconds(latency) } });
    };
    hooks.onWeightVersion = [server](std::uint64_t version) { server->onWeightVersion(version); };
    // Weak, for the running attempt owns these hooks.
    hooks.onPart = [this, weak = std::weak_ptr<Running>(running),
                    attemptId](std::uint32_t sequence, const connection::http::Response &head,
                               std::string data) -> asio::awaitable<absl::Status> {
        return sendPart(weak.lock(), chunkMessage(attemptId, sequence, head, std::move(data)));
    };
    return hooks;
}

auto ShardWorker::sendPart(RunningPtr running, wire::Envelope message)
    -> asio::awaitable<absl::Status>
{
    const auto replyLink = running->pending.replyLink;
    const auto deadline = std::min(running->pending.item.deadline, now() + m_policy.progressTime);
    auto timer = asio::steady_timer(m_strand);
    while (true) {
        const auto sent = answer(replyLink, message);
        if (sent.ok() || sent.code() != absl::StatusCode::kResourceExhausted || now() >= deadline)
            co_return sent;
        timer.expires_after(SEND_PAUSE);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

auto ShardWorker::start(Pending pending, EntryPtr server) -> void
{
    auto running = std::make_shared<Running>();
    running->pending = std::move(pending);
    running->server = server;
    running->bootId = server->bootId();
    const auto &submit = running->pending.submit;
    server->onStart();
    if (submit.isolate())
        server->setAlone(true);
    m_prefixes.onSent(server->server().id, submit.prefix_key(), now());
    auto spec = specOf(running->pending);
    running->pending.submit.clear_body();
    running->attempt =
        std::make_shared<request::attempt::Attempt>(std::move(spec), hooksOf(running));
    m_running.emplace(submit.attempt_id(), running);
    auto self = shared_from_this();
    asio::co_spawn(
        m_strand, [self, running] { return self->runAttempt(running); }, asio::detached);
}

auto ShardWorker::runAttempt(RunningPtr running) -> asio::awaitable<void>
{
    auto outcome = co_await running->attempt->run(running->server->pool());
    auto fault = ServerFault();
    const auto needsProbe = outcome.connectionLost
        && (outcome.failure == wire::FAILURE_CONNECT || outcome.failure == wire::FAILURE_SILENT
            || outcome.failure == wire::FAILURE_TRUNCATED);
    if (needsProbe)
        fault = co_await judgeServer(running, outcome);
    else if (outcome.failure == wire::FAILURE_SERVER_DIED && running->attempt->started())
        fault = { true, running->server->onConnectionLost(now()) };
    finish(running, std::move(outcome), fault);
}

auto ShardWorker::judgeServer(RunningPtr running, AttemptOutcome &outcome)
    -> asio::awaitable<ServerFault>
{
    const auto server = running->server;
    const auto beside = server->onConnectionLost(now());
    const auto kind = isEngine() ? ProbeKind::Engine : ProbeKind::Plain;
    server->pool().clear();
    server->beginSuspicion();
    const auto result =
        co_await connection::backend::probe(server->server().address, kind, m_policy.probeTimeout);
    server->endSuspicion();
    const auto wasAlive = server->alive();
    const auto news = server->onProbe(result, now());
    if (news == ServerNews::Restarted)
        m_prefixes.forget(server->server().id);
    const auto &bootBefore = running->bootId;
    const auto restarted = server->bootId() != bootBefore && !bootBefore.empty();
    const auto died = result.verdict == ProbeVerdict::Dead || restarted;
    logging::info(
        "server.probed",
        { { "server", server->server().id },
          { "verdict",
            std::string(base::nameOf(connection::backend::PROBE_VERDICT_NAMES, result.verdict)) },
          { "restarted", restarted } });
    if (result.verdict == ProbeVerdict::Dead && wasAlive)
        cutAllOn(*server, wire::FAILURE_SERVER_DIED, "the backend server died");
    // Without a started request the attempt is no witness of what killed the server.
    if (!died || !running->attempt->started())
        co_return ServerFault { false, beside };
    outcome.failure = wire::FAILURE_SERVER_DIED;
    co_return ServerFault { true, beside };
}

auto ShardWorker::cutRunning(const RunningPtr &running, wire::FailureCode code, std::string message)
    -> void
{
    const auto mustTellEngine =
        isEngine() && running->attempt->started() && code != wire::FAILURE_SERVER_DIED;
    const auto address = running->server->server().address;
    const auto attemptId = running->pending.submit.attempt_id();
    running->attempt->abort(code, std::move(message));
    if (mustTellEngine)
        asio::co_spawn(m_strand, cancelAtEngine(address, attemptId), asio::detached);
}

auto ShardWorker::cutAllOn(const ServerEntry &server, wire::FailureCode code,
                           const std::string &message) -> void
{
    auto cut = std::vector<RunningPtr>();
    for (const auto &[id, running] : m_running) {
        if (running->server.get() == &server)
            cut.push_back(running);
    }
    for (const auto &running : cut)
        cutRunning(running, code, message);
}

auto ShardWorker::finish(const RunningPtr &running, AttemptOutcome outcome,
                         const ServerFault &fault) -> void
{
    const auto &submit = running->pending.submit;
    const auto &server = running->server;
    const auto id = submit.attempt_id();
    if (submit.isolate())
        server->setAlone(false);
    server->onEnd();
    m_running.erase(id);
    const auto tokens = outcome.promptTokens + outcome.generatedTokens;
    m_queue->settle(running->pending.item, { tokens, outcome.serverTime });
    m_dependencies.index.end(id, outcome.ran, now());
    m_metrics->countOutcome(failureName(outcome.failure));
    const auto whole = outcome.failure == wire::FAILURE_NONE;
    auto message = whole ? doneMessage(id, std::move(outcome)) : failedMessage(id, outcome, fault);
    if (whole) {
        message.mutable_done()->set_server(server->server().id);
        message.mutable_done()->set_cheap_server(server->server().cheap);
        *message.mutable_done()->mutable_load() = loadHint();
    } else {
        message.mutable_failed()->set_server(server->server().id);
        message.mutable_failed()->set_peer(server->server().address);
        *message.mutable_failed()->mutable_load() = loadHint();
    }
    auto self = shared_from_this();
    asio::co_spawn(
        m_strand,
        [self, running, message]() -> asio::awaitable<void> {
            const auto sent = co_await self->sendPart(running, message);
            if (!sent.ok())
                logging::warning(
                    "attempt.answer_lost",
                    { { "error", std::string(sent.message().data(), sent.message().size()) } });
        },
        asio::detached);
    pump();
}

} // namespace nutmegplank::process::dispatch
