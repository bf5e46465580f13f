#include "app/node/callservice.h"

#include <absl/cleanup/cleanup.h>
#include <boost/asio.hpp>

#include "app/node/respondersink.h"
#include "base/status.h"
#include "base/text.h"
#include "process/clock/clock.h"
#include "process/clock/pause.h"
#include "process/logging/logging.h"
#include "request/forward/answerroom.h"
#include "request/rollout/memorycheck.h"
#include "version/batch/batchaccess.h"

namespace nutmegplank::app::node {

namespace {

namespace asio = boost::asio;
namespace http = connection::http;
namespace logging = process::logging;
using request::call::CallKind;
using request::call::Refusal;
using request::call::RefusalCode;
using version::journal::AppendOutcome;
using version::routing::OwnerKind;
using version::routing::RouteKind;

constexpr auto USE_TUPLE = asio::as_tuple(asio::use_awaitable);
//! An append without an answer may still show up.
constexpr auto LATE_APPEND = std::chrono::milliseconds(700);
//! When a caller that found no free server may come back: one request's duration.
constexpr auto SERVER_RETRY = std::chrono::milliseconds(60);
//! Callers of results that are refused ask again at another machine.
constexpr auto ROOM_TIME = std::chrono::milliseconds(2500);
//! A batch is held for this part of its caller's time: enough for an outage of some seconds, and
//! the caller can still come back once.
constexpr auto HOLD_PART = 2;
constexpr auto HOLD_CHECK = std::chrono::milliseconds(50);
//! After a machine that refused: another one may reach the store.
constexpr auto RELAY_AFTER_REFUSAL = std::chrono::milliseconds(200);
//! After a machine that said nothing: it may still keep the batch.
constexpr auto RELAY_AFTER_SILENCE = std::chrono::milliseconds(1000);
constexpr auto QUARANTINED_RETRY = std::chrono::seconds(60);
//! Before a configuration is known; it is read within a second of the start.
constexpr auto START_RETRY = std::chrono::milliseconds(400);
//! A paused process waits this long for the configuration; then the log counts as unavailable, and
//! the last known configuration holds.
constexpr auto RESUME_TIME = std::chrono::milliseconds(400);
constexpr auto RESUME_CHECK = std::chrono::milliseconds(5);
//! Callers whose machine stops go to another one at once.
constexpr auto STOPPING_RETRY = std::chrono::milliseconds(50);
//! All tries to write a batch, and the wait for an append without an answer.
constexpr auto LONGEST_SUBMISSION = std::chrono::milliseconds(4600);
constexpr auto FIRST_ERROR = 400U;

//! A call that can be repeated without a second effect, and whose answer may be long.
auto isRead(CallKind kind) -> bool
{
    return kind == CallKind::ReadResults || kind == CallKind::ReadBody;
}

auto refusalFor(const request::forward::ForwardResult &result) -> Refusal
{
    switch (result.end) {
    case request::forward::ForwardOutcome::NotRun:
        return { RefusalCode::NoServer, result.detail,
                 std::max<base::Duration>(SERVER_RETRY, result.retryAfter) };
    case request::forward::ForwardOutcome::Quarantined:
        return { RefusalCode::Quarantined, "servers crash under this request", QUARANTINED_RETRY };
    case request::forward::ForwardOutcome::CannotResume:
        return { RefusalCode::CannotResume, result.detail };
    case request::forward::ForwardOutcome::Expired:
        return { RefusalCode::Expired, result.detail };
    case request::forward::ForwardOutcome::Answered:
    case request::forward::ForwardOutcome::Unknown:
    case request::forward::ForwardOutcome::CallerGone:
        return { RefusalCode::Unknown, result.detail };
    }
    return { RefusalCode::Unknown, result.detail };
}

auto mayHaveRun(request::forward::ForwardOutcome end) -> bool
{
    switch (end) {
    case request::forward::ForwardOutcome::Answered:
    case request::forward::ForwardOutcome::Unknown:
    case request::forward::ForwardOutcome::Expired:
    case request::forward::ForwardOutcome::CallerGone:
        return true;
    case request::forward::ForwardOutcome::NotRun:
    case request::forward::ForwardOutcome::Quarantined:
    case request::forward::ForwardOutcome::CannotResume:
        return false;
    }
    return false;
}

//! An answer that is being made by another coroutine.
struct PendingAnswer
{
    explicit PendingAnswer(asio::io_context &context)
        : timer(context, asio::steady_timer::time_point::max())
    { }

    auto end() -> void
    {
        ended = true;
        timer.cancel();
    }

    asio::steady_timer timer;
    std::optional<http::Response> answer;
    std::exception_ptr failure;
    bool ended = false;
};

//! Durations of submissions are apart from those of other requests.
auto submissionsOf(const version::routing::Route &route) -> std::string
{
    return base::concat("batch/", route.name);
}

} // namespace

CallService::CallService(CallServiceParts parts)
    : m_parts(std::move(parts))
    , m_batchCalls(m_parts.protocol, m_parts.batches, m_parts.shutdown)
    , m_answered(m_parts.metrics.counter("nutmegplank_calls_total", "Calls of callers.",
                                         { { "outcome", "answered" } }))
    , m_refused(m_parts.metrics.counter("nutmegplank_calls_total", "Calls of callers.",
                                        { { "outcome", "refused" } }))
    , m_seconds(m_parts.metrics.distribution("nutmegplank_call_seconds",
                                             "From a call's last byte to its answer."))
{ }

auto CallService::refuse(const Exchange &exchange, const Refusal &refusal) const -> Answer
{
    return app::node::refuse(m_parts.protocol, exchange, refusal);
}

auto CallService::noteAnswer(const Exchange &exchange, std::uint32_t status,
                             std::string_view outcome, std::string_view server,
                             std::uint32_t attempts) const -> void
{
    const auto took = process::clock::now() - exchange.receivedAt;
    m_seconds.record(took);
    (status < FIRST_ERROR ? m_answered : m_refused).add();
    logging::info(
        "call.answered",
        { { "request", exchange.call.requestId },
          { "kind", base::nameOf(request::call::CALL_KIND_NAMES, exchange.call.kind) },
          { "caller", base::nameOf(version::routing::OWNER_KIND_NAMES, exchange.caller.kind) },
          { "workspace", exchange.caller.workspace },
          { "status", status },
          { "outcome", outcome },
          { "server", server },
          { "attempts", attempts },
          { "configuration", exchange.table == nullptr ? 0 : exchange.table->version },
          { "took_ms", base::toMilliseconds(took) } });
}

auto CallService::admit(Exchange &exchange, const version::routing::Route *route) const
    -> std::optional<Refusal>
{
    if (exchange.table == nullptr)
        return Refusal { RefusalCode::NotReady, "no configuration is known yet", START_RETRY };
    if (route != nullptr && !m_parts.serversKnown())
        return Refusal { RefusalCode::NotReady, "no backend servers are known yet", START_RETRY };
    auto caller = exchange.table->ownerOf(exchange.call.credential);
    if (!caller.has_value())
        return Refusal { RefusalCode::UnknownKey, "the key is not known" };
    // Calls on batches have no route: they may come without a key where the batch did.
    if (caller->kind == OwnerKind::Anonymous && route != nullptr && !route->open)
        return Refusal { RefusalCode::UnknownKey, "the route needs a key" };
    exchange.caller = std::move(*caller);
    return std::nullopt;
}

//! Refuses a request whose prompt no engine of its route has the memory for.
auto CallService::refuseTooLarge(const Exchange &exchange, const version::routing::Route &route)
    -> std::optional<Refusal>
{
    const auto prompt = exchange.call.size.contextTokens;
    if (prompt == 0 || request::rollout::mayHoldPrompt(*exchange.table, route, prompt))
        return std::nullopt;
    return Refusal { RefusalCode::TooLarge,
                     base::concat("no engine has the memory for a prompt of ", prompt, " tokens") };
}

//! Refuses a batch that cannot become complete since prompts are too large for all engines. One
//! that can is kept with these items, which are listed as lost when their time is up.
auto CallService::refuseUnrunnable(const Exchange &exchange,
                                   const version::batch::Submission &submission)
    -> std::optional<Refusal>
{
    const auto unrunnable = request::rollout::findUnrunnable(submission, *exchange.table);
    if (unrunnable.items == 0)
        return std::nullopt;
    logging::warning("batch.unrunnable_items",
                     { { "batch", submission.head.id },
                       { "items", unrunnable.items },
                       { "first_item", unrunnable.firstItem },
                       { "refused", unrunnable.blocksBatch } });
    if (!unrunnable.blocksBatch)
        return std::nullopt;
    return Refusal { RefusalCode::TooLarge,
                     base::concat("no engine has the memory for the prompts of ", unrunnable.items,
                                  " items, the first one ", unrunnable.firstItem) };
}

auto CallService::patienceOf(const Exchange &exchange, const version::routing::Route &route) const
    -> base::Duration
{
    if (exchange.call.timeLeft.count() == 0)
        return route.timeout;
    return std::min(route.timeout, exchange.call.timeLeft);
}

auto CallService::isTooLate(const Exchange &exchange, const version::routing::Route *route) const
    -> bool
{
    const auto now = process::clock::now();
    if (route == nullptr)
        return !m_parts.shutdown.hasTimeFor(BATCH_CALL_TIME, now);
    if (route->kind == RouteKind::Rollout)
        return !m_parts.shutdown.mayTry(submissionsOf(*route), LONGEST_SUBMISSION, now);
    return !m_parts.shutdown.maySend(route->name, patienceOf(exchange, *route), now);
}

auto CallService::handle(http::Request request, http::IHttpResponder &responder)
    -> asio::awaitable<void>
{
    const auto receivedAt = process::clock::now();
    while (m_parts.resuming() && process::clock::now() - receivedAt < RESUME_TIME)
        co_await process::clock::pauseFor(RESUME_CHECK);
    auto exchange = Exchange { m_parts.protocol.readCall(request), m_parts.routing() };
    exchange.receivedAt = receivedAt;
    const version::routing::Route *route = nullptr;
    const auto isRequest = exchange.call.kind == CallKind::Request;
    if (exchange.table != nullptr && isRequest) {
        route = exchange.table->findRoute(exchange.call.host, exchange.call.path);
        if (route == nullptr) {
            auto answer =
                refuse(exchange, { RefusalCode::NoRoute, "no route has this host and path" });
            co_await responder.respond(std::move(answer));
            co_return;
        }
    }
    auto refusal = admit(exchange, route);
    if (!refusal.has_value() && isRequest && route->kind != RouteKind::Rollout)
        refusal = refuseTooLarge(exchange, *route);
    if (!refusal.has_value() && isTooLate(exchange, route))
        refusal = Refusal { RefusalCode::Stopping, "this machine stops", STOPPING_RETRY };
    if (refusal.has_value()) {
        auto answer = refuse(exchange, *refusal);
        co_await responder.respond(std::move(answer));
        co_return;
    }
    if (isRequest && route->kind != RouteKind::Rollout) {
        co_await forward(exchange, std::move(request), *route, responder);
        co_return;
    }
    const auto shared = std::make_shared<const Exchange>(exchange);
    auto work = std::function<asio::awaitable<Answer>()>();
    if (isRequest) {
        const auto handle = std::make_shared<request::forward::ForwardHandle>();
        responder.onCallerGone([handle] { handle->cancel(); });
        // The exchange's table owns the route.
        work = [this, shared, route, handle,
                body = std::make_shared<const http::Request>(std::move(request))] {
            return submit(*shared, *body, *route, handle);
        };
    } else {
        work = [this, shared] { return m_batchCalls.answer(*shared); };
    }
    auto answer = co_await answerInTime(shared, std::move(work));
    auto held = m_parts.heldAnswers.newHolder();
    const auto roomUntil = m_parts.shutdown.limit(exchange.receivedAt + ROOM_TIME);
    const auto hasRoom = co_await request::forward::waitForRoom(m_parts.heldAnswers, held,
                                                                answer.body.size(), roomUntil);
    // What a submission or an end has done stays true without room; such answers are short.
    if (!hasRoom && isRead(exchange.call.kind))
        answer = refuse(exchange, { RefusalCode::Unsure, "no room for the answer", STORE_RETRY });
    noteAnswer(exchange, answer.status, "batch call");
    co_await send(std::move(answer), std::move(held), responder);
}

auto CallService::answerInTime(ExchangePtr exchange, std::function<asio::awaitable<Answer>()> work)
    -> asio::awaitable<Answer>
{
    const auto pending = std::make_shared<PendingAnswer>(m_parts.context);
    const auto endHook =
        request::shutdown::ShutdownGate::EndHook(m_parts.shutdown, [pending] { pending->end(); });
    asio::co_spawn(m_parts.context, std::move(work),
                   [pending](std::exception_ptr failure, Answer answer) {
                       pending->failure = std::move(failure);
                       pending->answer = std::move(answer);
                       pending->end();
                   });
    while (!pending->ended)
        co_await pending->timer.async_wait(USE_TUPLE);
    if (pending->failure != nullptr)
        std::rethrow_exception(pending->failure);
    if (pending->answer.has_value())
        co_return std::move(*pending->answer);
    // Reads can be repeated; what a batch or its end has come to is not known.
    if (isRead(exchange->call.kind))
        co_return refuse(*exchange, { RefusalCode::Unsure, "this machine stops", STOPPING_RETRY });
    co_return refuse(*exchange, { RefusalCode::Unknown, "this machine stops" });
}

auto CallService::send(Answer answer, process::memory::HeldBytes held,
                       http::IHttpResponder &responder) -> asio::awaitable<void>
{
    const auto writing = m_parts.heldAnswers.beginWriting(
        held.bytes(), process::clock::now(), [&responder, bytes = held.bytes()] {
            logging::warning("call.unread_answer_dropped", { { "bytes", bytes } });
            responder.abort();
        });
    const auto endWriting =
        absl::MakeCleanup([this, writing] { m_parts.heldAnswers.endWriting(writing); });
    co_await responder.respond(std::move(answer));
}

auto CallService::forward(Exchange exchange, http::Request request,
                          const version::routing::Route &route, http::IHttpResponder &responder)
    -> asio::awaitable<void>
{
    auto call = request::forward::ForwardCall();
    call.requestId = exchange.call.requestId;
    call.size = exchange.call.size;
    call.caller = exchange.caller;
    call.route = route;
    call.resumesStream = exchange.call.resumesStream;
    call.streamBegunBy = exchange.call.streamBegunBy;
    call.deadline = exchange.receivedAt + patienceOf(exchange, route);
    call.request = m_parts.protocol.toServerRequest(std::move(request));
    const auto handle = std::make_shared<request::forward::ForwardHandle>();
    responder.onCallerGone([handle] { handle->cancel(); });
    const auto endHook =
        request::shutdown::ShutdownGate::EndHook(m_parts.shutdown, [handle] { handle->stop(); });
    auto sink = ResponderSink(responder, m_parts.protocol);
    auto taken = m_parts.shutdown.take(route.name, exchange.receivedAt);
    auto result = co_await m_parts.forwarder.forward(std::move(call), handle, sink);
    if (mayHaveRun(result.end))
        taken.finish(result.end == request::forward::ForwardOutcome::Answered && result.complete,
                     process::clock::now());
    const auto name = base::nameOf(request::forward::FORWARD_OUTCOME_NAMES, result.end);
    if (result.end == request::forward::ForwardOutcome::CallerGone) {
        noteAnswer(exchange, 0, name, result.server, result.attempts);
        responder.abort();
        co_return;
    }
    if (result.streamed) {
        noteAnswer(exchange, result.response.status, result.complete ? name : "cut", result.server,
                   result.attempts);
        if (result.complete)
            co_await responder.endStream();
        else
            responder.abort();
        co_return;
    }
    if (result.end == request::forward::ForwardOutcome::Answered) {
        noteAnswer(exchange, result.response.status, name, result.server, result.attempts);
        co_await send(m_parts.protocol.toCallerResponse(std::move(result.response)),
                      std::move(result.held), responder);
        co_return;
    }
    auto answer = refuse(exchange, refusalFor(result));
    noteAnswer(exchange, answer.status, name, result.server, result.attempts);
    co_await responder.respond(std::move(answer));
}

//! Keeps a batch. While the log is away it is offered to other machines and held for a part of its
//! caller's time, since a caller that is turned away twice gives its whole step up.
auto CallService::submit(const Exchange &exchange, const http::Request &request,
                         const version::routing::Route &route, HandlePtr handle)
    -> asio::awaitable<Answer>
{
    auto submission = m_parts.protocol.readSubmission(exchange.call, request.body);
    if (!submission.ok())
        co_return refuse(exchange, { RefusalCode::Malformed, base::describe(submission.status()) });
    const auto &id = exchange.call.requestId;
    const auto isKept = [this, &exchange, &id] {
        return isAccepted(m_parts.batches.log(), exchange.caller, id);
    };
    if (isKept())
        co_return m_parts.protocol.writeAccepted(id);
    const auto repeats = co_await repeatsUnowned(exchange, *submission);
    if (!repeats.has_value())
        co_return refuse(exchange, { RefusalCode::Unknown, "an earlier batch can't be read" });
    if (*repeats)
        co_return m_parts.protocol.writeAccepted(id);
    const auto unrunnable = refuseUnrunnable(exchange, *submission);
    if (unrunnable.has_value())
        co_return refuse(exchange, *unrunnable);
    submission->head.owner = exchange.caller;
    submission->head.configuration = exchange.table->version;
    submission->head.submittedMs = m_parts.trueTime.milliseconds(exchange.receivedAt);
    const auto batch = std::make_shared<const version::batch::Submission>(std::move(*submission));
    const auto relayed = Relay::wasRelayed(request);
    const auto holdUntil = exchange.receivedAt
        + (relayed ? base::Duration(0) : patienceOf(exchange, route) / HOLD_PART);
    auto taken = m_parts.shutdown.take(submissionsOf(route), exchange.receivedAt);
    auto mayBeKept = false;
    auto detail = std::string("the log does not answer");
    auto nextRelay = exchange.receivedAt;
    auto timer = asio::steady_timer(m_parts.context);
    while (!handle->cancelled()) {
        if (m_parts.batches.reachable()) {
            const auto result = co_await m_parts.batches.keep(batch);
            noteKept(exchange, result);
            if (result.outcome == AppendOutcome::Done) {
                taken.finish(true, process::clock::now());
                co_return m_parts.protocol.writeAccepted(id);
            }
            mayBeKept = mayBeKept || result.outcome == AppendOutcome::Unknown;
            detail = result.detail;
        }
        const auto now = process::clock::now();
        m_parts.batches.requestFastRetries(now);
        if (!relayed && now >= nextRelay) {
            const auto isGood = [this, &id](const http::Response &response) {
                return m_parts.protocol.isAccepted(response, id);
            };
            const auto elsewhere = co_await m_parts.relay.send(request, isGood);
            if (elsewhere == RelayEnd::Answered)
                co_return m_parts.protocol.writeAccepted(id);
            const auto unknown = elsewhere == RelayEnd::Unknown;
            mayBeKept = mayBeKept || unknown;
            nextRelay = now + (unknown ? RELAY_AFTER_SILENCE : RELAY_AFTER_REFUSAL);
        }
        // What was perhaps kept shows up in the index.
        if (isKept())
            co_return m_parts.protocol.writeAccepted(id);
        if (process::clock::now() >= holdUntil || isTooLate(exchange, &route))
            break;
        timer.expires_after(HOLD_CHECK);
        co_await timer.async_wait(USE_TUPLE);
    }
    if (!mayBeKept)
        co_return refuse(exchange, { RefusalCode::StoreUnavailable, detail, STORE_RETRY });
    // Nothing may be promised before the log has told.
    const auto until = process::clock::now() + LATE_APPEND;
    while (!isKept() && process::clock::now() < until)
        co_await m_parts.batches.waitForChange(id, until);
    if (isKept())
        co_return m_parts.protocol.writeAccepted(id);
    co_return refuse(exchange, { RefusalCode::Unknown, detail });
}

//! Whether \a submission repeats a batch that was accepted before the configuration had workspaces,
//! as when the answer to it was lost; nullopt if that batch can't be read.
auto CallService::repeatsUnowned(const Exchange &exchange,
                                 const version::batch::Submission &submission) const
    -> asio::awaitable<std::optional<bool>>
{
    const auto *earlier =
        findAcceptedUnowned(m_parts.batches.log(), exchange.caller, exchange.call.requestId);
    if (earlier == nullptr || earlier->itemCount() != submission.items.size())
        co_return false;
    const auto kept = co_await m_parts.batches.loadSubmission(earlier->head.key());
    if (!kept.ok())
        co_return std::nullopt;
    co_return haveSameItems(**kept, submission);
}

auto CallService::noteKept(const Exchange &exchange,
                           const version::journal::AppendResult &result) const -> void
{
    logging::info(
        "batch.submitted",
        { { "request", exchange.call.requestId },
          { "outcome", base::nameOf(version::journal::APPEND_OUTCOME_NAMES, result.outcome) },
          { "offset", result.offset },
          { "detail", result.detail },
          { "held_ms", base::toMilliseconds(process::clock::now() - exchange.receivedAt) } });
}

} // namespace nutmegplank::app::node
