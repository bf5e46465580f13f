#include "app/gateway/callerhandler.h"

#include "app/gateway/requestspec.h"
#include "process/address/address.h"
#include "process/clock/clock.h"
#include "request/refusal/refusal.h"

namespace nutmegplank::app::gateway {

namespace asio = boost::asio;
using connection::http::IHttpResponder;
using connection::http::Request;
using connection::http::Response;
using request::admission::AdmittedRequest;
using request::execution::Refusal;

CallerHandler::CallerHandler(HandlerDependencies dependencies)
    : m_dependencies(dependencies)
{ }

auto CallerHandler::addressPage(const Request &request) const -> Response
{
    auto query = process::address::AddressQuery();
    query.self = m_dependencies.membership.self();
    query.selfLeaving = m_leaving;
    query.caller = request.peer;
    query.keep = m_dependencies.addressKeep;
    const auto state = m_dependencies.log.state();
    const auto gateways = process::address::chooseGateways(query, *m_dependencies.membership.view(),
                                                           *state->configuration);
    return connection::http::jsonResponse(200,
                                          process::address::addressAnswer(gateways, query.keep));
}

auto CallerHandler::ownPage(const Request &request) const -> std::optional<Response>
{
    if (request.method != "GET")
        return std::nullopt;
    const auto path = connection::http::pathOf(request.target);
    if (path == "/v1/address")
        return addressPage(request);
    if (path == "/metrics")
        return Response { 200,
                          { { "Content-Type", "text/plain; version=0.0.4" } },
                          m_dependencies.metrics.render() };
    if (path == "/health")
        return connection::http::jsonResponse(200, R"({"ok": true})");
    return std::nullopt;
}

auto CallerHandler::handle(Request request, IHttpResponder &responder) -> asio::awaitable<void>
{
    auto page = ownPage(request);
    if (page.has_value()) {
        co_await responder.respond(std::move(*page));
        co_return;
    }
    auto requestId = requestIdFor(request);
    auto deadlineText = connection::http::headerValue(request.headers, "X-Deadline-Ms");
    const auto mayServeKeyed = m_dependencies.freshness.mayServeKeyed(process::clock::now());
    const auto state = m_dependencies.log.state();
    auto verdict =
        request::admission::admit(std::move(request), *state->configuration, mayServeKeyed);
    if (const auto *refusal = std::get_if<Refusal>(&verdict); refusal != nullptr) {
        m_dependencies.callerMetrics.recordRefusal(refusal->code);
        auto response = request::refusal::toResponse(*refusal, requestId);
        co_await responder.respond(std::move(response));
        co_return;
    }
    auto admitted = std::get<AdmittedRequest>(std::move(verdict));
    co_await serve(std::move(admitted), std::move(requestId), std::move(deadlineText), responder);
}

auto CallerHandler::serve(AdmittedRequest admitted, std::string requestId, std::string deadlineText,
                          IHttpResponder &responder) -> asio::awaitable<void>
{
    if (admitted.target == request::admission::Target::Route) {
        co_await m_dependencies.forwarder.forward(std::move(admitted), std::move(requestId),
                                                  std::move(deadlineText), responder);
        co_return;
    }
    if (m_dependencies.steps == nullptr) {
        const auto refusal =
            request::refusal::makeRefusal(request::refusal::Code::NoService, wire::RAN_NOT_RUN,
                                          { "this gateway serves no steps", "steps", "", 0 });
        auto response = request::refusal::toResponse(refusal, requestId);
        co_await responder.respond(std::move(response));
        co_return;
    }
    auto caller = request::step::StepCaller { admitted.workspace, admitted.keyId };
    const auto began = process::clock::now();
    co_await m_dependencies.steps->handle(std::move(admitted.request), std::move(caller),
                                          responder);
    m_dependencies.callerMetrics.recordStep(process::clock::now() - began);
}

} // namespace nutmegplank::app::gateway
