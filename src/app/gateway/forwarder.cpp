#include "app/gateway/forwarder.h"

#include "app/gateway/requestspec.h"
#include "process/clock/clock.h"
#include "request/admission/credentials.h"
#include "request/execution/wireheaders.h"
#include "request/quarantine/quarantine.h"
#include "request/refusal/refusal.h"

namespace nutmegplank::app::gateway {

namespace asio = boost::asio;
using connection::http::Headers;
using connection::http::IHttpResponder;
using connection::http::Response;
using request::admission::AdmittedRequest;
using request::execution::Refusal;
using request::execution::RequestOutcome;
using request::execution::RequestSpec;
using request::idempotency::ClaimResult;

namespace {

//! The backend server's answer as the caller gets it.
auto toCaller(std::uint32_t status, Headers headers, const std::string &requestId) -> Response
{
    request::admission::removeConnectionHeaders(headers);
    connection::http::removeHeader(headers, "X-Request-Id");
    headers.push_back({ "X-Request-Id", requestId });
    return Response { status, std::move(headers), {} };
}

auto isStillValid(const version::state::IPlatformLog &log, const std::string &keyId) -> bool
{
    return keyId.empty() || request::admission::isKeyValid(*log.state()->configuration, keyId);
}

auto replayed(const wire::IdempotencyRecord &record) -> RequestOutcome
{
    auto outcome = RequestOutcome();
    outcome.ok = true;
    outcome.status = record.status();
    outcome.headers = request::execution::toHttpHeaders(record.headers());
    outcome.headers.push_back({ "X-Idempotent-Replay", "true" });
    outcome.body = record.body();
    return outcome;
}

//! An earlier request with the key may have run in all these cases, so none says "not run".
auto refusedClaim(ClaimResult result) -> RequestOutcome
{
    using request::refusal::Code;
    auto code = Code::IdempotencyUnavailable;
    auto message = std::string("too few homes of the idempotency key answered");
    if (result == ClaimResult::InProgress) {
        code = Code::InProgress;
        message = "a request with this idempotency key is running";
    } else if (result == ClaimResult::KeyReused) {
        code = Code::IdempotencyKeyReused;
        message = "the idempotency key was used for another request";
    } else if (result == ClaimResult::Unknown) {
        code = Code::IdempotencyUnknown;
        message = "whether a request with this idempotency key ran is not known";
    }
    auto outcome = RequestOutcome();
    outcome.refusal = request::refusal::makeRefusal(code, wire::RAN_UNKNOWN,
                                                    { message, "idempotency.claim", "", 0 });
    return outcome;
}

auto withdrawnOutcome() -> RequestOutcome
{
    auto outcome = RequestOutcome();
    outcome.refusal =
        request::refusal::makeRefusal(request::refusal::Code::KeyWithdrawn, wire::RAN_NOT_RUN,
                                      { "the key was withdrawn", "forward", "", 0 });
    return outcome;
}

} // namespace

Forwarder::Forwarder(request::execution::IRequestRunner &runner,
                     request::execution::KeyedRuns &runs, version::state::IPlatformLog &log,
                     CallerMetrics &metrics, request::idempotency::IdempotencyService &idempotency)
    : m_runner(runner)
    , m_runs(runs)
    , m_log(log)
    , m_metrics(metrics)
    , m_idempotency(idempotency)
{ }

auto Forwarder::forward(AdmittedRequest admitted, std::string requestId, std::string deadlineText,
                        IHttpResponder &responder) -> asio::awaitable<void>
{
    const auto began = process::clock::now();
    auto made = makeSpec(admitted, requestId, deadlineText, began);
    if (auto *refusal = std::get_if<Refusal>(&made); refusal != nullptr) {
        co_await refuse(std::move(*refusal), requestId, responder);
        co_return;
    }
    auto spec = std::get<RequestSpec>(std::move(made));
    const auto key = connection::http::headerValue(admitted.request.headers, "Idempotency-Key");
    const auto runsOnce = !key.empty() && !admitted.idempotent;
    auto outcome = RequestOutcome();
    if (runsOnce)
        outcome = co_await runOnce(admitted, std::move(spec), key, responder);
    else
        outcome = co_await run(admitted, std::move(spec), responder);
    if (!outcome.ok) {
        co_await refuse(std::move(outcome.refusal), requestId, responder);
        co_return;
    }
    const auto atServer = std::chrono::milliseconds(outcome.serverMilliseconds);
    co_await answer(std::move(outcome), requestId, responder);
    m_metrics.recordAnswer(admitted.route, process::clock::now() - began, atServer);
}

auto Forwarder::run(const AdmittedRequest &admitted, RequestSpec spec, IHttpResponder &responder)
    -> asio::awaitable<RequestOutcome>
{
    auto cancellation = m_runner.makeCancellation();
    // First into the index, then the second look: a withdrawal in between finds the run.
    const auto entry = request::execution::KeyedRuns::Entry(m_runs, admitted.keyId, cancellation);
    if (!isStillValid(m_log, admitted.keyId))
        co_return withdrawnOutcome();
    auto hooks = request::execution::RunHooks();
    const auto requestId = spec.requestId;
    hooks.onHead = [&responder,
                    requestId](std::uint32_t status,
                               const Headers &headers) -> asio::awaitable<absl::Status> {
        auto head = toCaller(status, headers, requestId);
        co_return co_await responder.startStream(std::move(head));
    };
    hooks.onChunk = [&responder](std::string_view part) -> asio::awaitable<absl::Status> {
        co_return co_await responder.writeChunk(part);
    };
    co_return co_await m_runner.run(std::move(spec), hooks, cancellation);
}

auto Forwarder::runOnce(const AdmittedRequest &admitted, RequestSpec spec, std::string key,
                        IHttpResponder &responder) -> asio::awaitable<RequestOutcome>
{
    auto fingerprint =
        request::quarantine::fingerprintOf(spec.workspace, spec.method + spec.target + spec.body);
    const auto claim =
        co_await m_idempotency.claim(spec.workspace, std::move(key), std::move(fingerprint));
    if (claim.result == ClaimResult::Replay)
        co_return replayed(claim.record);
    if (claim.result != ClaimResult::Run)
        co_return refusedClaim(claim.result);
    auto outcome = co_await run(admitted, std::move(spec), responder);
    m_idempotency.finish(claim, outcome);
    co_return outcome;
}

auto Forwarder::answer(RequestOutcome outcome, std::string requestId, IHttpResponder &responder)
    -> asio::awaitable<void>
{
    if (responder.started()) {
        co_await responder.endStream();
        co_return;
    }
    auto response = toCaller(outcome.status, std::move(outcome.headers), requestId);
    response.body = std::move(outcome.body);
    co_await responder.respond(std::move(response));
}

auto Forwarder::refuse(Refusal refusal, std::string requestId, IHttpResponder &responder)
    -> asio::awaitable<void>
{
    m_metrics.recordRefusal(refusal.code);
    if (!responder.started()) {
        auto response = request::refusal::toResponse(refusal, requestId);
        co_await responder.respond(std::move(response));
        co_return;
    }
    // The connection is broken, so that nobody takes the part for the whole.
    const auto event = "data: " + request::refusal::toJson(refusal, requestId) + "\n\n";
    co_await responder.writeChunk(event);
    responder.abort();
}

} // namespace nutmegplank::app::gateway
