#include "request/step/internal/stepservice.h"

#include <charconv>

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include "base/hash.h"
#include "base/status.h"
#include "base/text.h"

namespace nutmegplank::request::step {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;
namespace http = connection::http;

constexpr auto STEPS_PATH = std::string_view("/v1/steps");
constexpr auto WEIGHTS_PATH = std::string_view("/v1/weights");
constexpr auto PULL_SUFFIX = std::string_view("/pull");
constexpr auto APPEND_TIMEOUT = base::Duration(std::chrono::seconds(10));
constexpr auto RETRY_AFTER_MS = std::uint32_t(500);

auto badRequestResponse(const absl::Status &cause) -> http::Response
{
    return refusalResponse(
        notRunRefusal(400, "bad_request", std::string(base::toStd(cause.message()))));
}

auto unknownStepResponse() -> http::Response
{
    return refusalResponse(notRunRefusal(404, "unknown_step", "no such step is open here"));
}

//! The step name in a path "/v1/steps/<step>" followed by \a suffix; empty for any other path.
auto stepNameInPath(std::string_view path, std::string_view suffix) -> std::string
{
    if (!path.starts_with(STEPS_PATH) || !path.ends_with(suffix))
        return {};
    path.remove_prefix(STEPS_PATH.size());
    path.remove_suffix(std::min(path.size(), suffix.size()));
    if (path.size() < 2 || path.front() != '/')
        return {};
    const auto name = path.substr(1);
    return name.find('/') == std::string_view::npos ? std::string(name) : std::string();
}

auto staleVersionResponse(const version::state::WeightsState &newest) -> http::Response
{
    auto error = json::object();
    error["code"] = "stale_version";
    error["ran"] = "not_run";
    error["message"] = "a version at least as new is published";
    error["newest"] = newest.version;
    auto body = json::object();
    body["error"] = std::move(error);
    return http::jsonResponse(409, json::serialize(body));
}

auto publishedResponse(std::uint64_t offset) -> http::Response
{
    auto body = json::object();
    body["offset"] = offset;
    return http::jsonResponse(200, json::serialize(body));
}

} // namespace

StepService::StepService(asio::io_context &context, execution::IRequestRunner &runner,
                         version::state::IPlatformLog &log, process::metrics::Registry &metrics,
                         StepPolicy policy)
    : m_metrics(metrics)
    , m_resources { context, runner, log, m_metrics, policy }
{ }

StepService::~StepService() = default;

auto StepService::handle(http::Request request, StepCaller caller, http::IHttpResponder &responder)
    -> asio::awaitable<void>
{
    auto response = co_await dispatch(std::move(request), std::move(caller));
    const auto sent = co_await responder.respond(std::move(response));
    // A lost response needs no handling: the trainer repeats the call, and a pull delivers
    // unacknowledged samples again.
    static_cast<void>(sent);
}

auto StepService::dispatch(http::Request request, StepCaller caller) -> asio::awaitable<Response>
{
    const auto path = std::string(http::pathOf(request.target));
    if (request.method == "POST" && path == STEPS_PATH)
        co_return co_await open(std::move(request.body), std::move(caller));
    if (request.method == "POST" && path == WEIGHTS_PATH)
        co_return co_await publishWeights(std::move(request.body));
    auto pulledStep = stepNameInPath(path, PULL_SUFFIX);
    if (request.method == "POST" && !pulledStep.empty())
        co_return co_await pull(std::move(pulledStep), std::move(request.body), std::move(caller));
    auto closedStep = stepNameInPath(path, "");
    auto epoch = http::queryValue(request.target, "epoch");
    if (request.method == "DELETE" && !closedStep.empty())
        co_return co_await closeStep(std::move(closedStep), std::move(epoch), std::move(caller));
    co_return refusalResponse(notRunRefusal(404, "unknown_path", "no such call on steps"));
}

auto StepService::checkServices(const StepSpec &spec) const -> std::optional<execution::Refusal>
{
    const auto state = m_resources.log.state();
    const auto &services = state->configuration->services;
    const auto found = services.find(spec.service);
    if (found == services.end()
        || found->second.kind != version::configuration::ServiceKind::Engine)
        return notRunRefusal(404, "unknown_service", "no such service of model engines");
    if (!spec.scoringService.empty() && services.count(spec.scoringService) == 0)
        return notRunRefusal(404, "unknown_service", "no such scoring service");
    return std::nullopt;
}

auto StepService::open(std::string body, StepCaller caller) -> asio::awaitable<Response>
{
    auto spec = parseStep(body);
    if (!spec.ok())
        co_return badRequestResponse(spec.status());
    if (const auto refusal = checkServices(*spec))
        co_return refusalResponse(*refusal);
    removeClosedSessions();
    auto session = SessionPtr();
    {
        const auto lock = std::lock_guard(m_mutex);
        auto &sessionEntry = m_sessions[StepId { caller.workspace, spec->stepName }];
        if (sessionEntry == nullptr && !m_draining) {
            sessionEntry = std::make_shared<StepSession>(m_resources, caller, *spec);
            sessionEntry->start();
        }
        session = sessionEntry;
        if (session == nullptr)
            m_sessions.erase(StepId { caller.workspace, spec->stepName });
        m_metrics.openSteps.set(static_cast<double>(m_sessions.size()));
    }
    if (session == nullptr) {
        auto refusal = notRunRefusal(503, "leaving", "this process shuts down; ask another one");
        refusal.retryAfterMs = RETRY_AFTER_MS;
        co_return refusalResponse(refusal);
    }
    // A new session is reopened too, with its own epoch.
    const auto reopen = [session, requestedSpec = *std::move(spec)]() -> asio::awaitable<Response> {
        co_return session->reopen(requestedSpec);
    };
    co_return co_await asio::co_spawn(session->strand(), reopen, asio::use_awaitable);
}

auto StepService::pull(std::string step, std::string body, StepCaller caller)
    -> asio::awaitable<Response>
{
    const auto spec = parsePull(body);
    if (!spec.ok())
        co_return badRequestResponse(spec.status());
    const auto session = findSession(StepId { caller.workspace, step });
    if (session == nullptr)
        co_return unknownStepResponse();
    const auto run = [session, pullSpec = *spec]() { return session->pull(pullSpec); };
    co_return co_await asio::co_spawn(session->strand(), run, asio::use_awaitable);
}

auto StepService::closeStep(std::string step, std::string epoch, StepCaller caller)
    -> asio::awaitable<Response>
{
    const auto session = findSession(StepId { caller.workspace, step });
    if (session == nullptr)
        co_return unknownStepResponse();
    auto requestedEpoch = std::uint64_t(0);
    std::from_chars(epoch.data(), epoch.data() + epoch.size(), requestedEpoch);
    const auto run = [session, requestedEpoch]() -> asio::awaitable<Response> {
        co_return session->closeByTrainer(requestedEpoch);
    };
    auto response = co_await asio::co_spawn(session->strand(), run, asio::use_awaitable);
    removeClosedSessions();
    co_return response;
}

auto StepService::publishWeights(std::string body) -> asio::awaitable<Response>
{
    const auto spec = parseWeights(body);
    if (!spec.ok())
        co_return badRequestResponse(spec.status());
    const auto state = m_resources.log.state();
    if (state->configuration->services.count(spec->model) == 0)
        co_return refusalResponse(notRunRefusal(404, "unknown_service", "no such service"));
    const auto found = state->weights.find(spec->model);
    if (found != state->weights.end() && found->second.version >= spec->version) {
        if (found->second.version == spec->version && found->second.source == spec->source)
            co_return publishedResponse(found->second.offset);
        co_return staleVersionResponse(found->second);
    }
    auto record = json::object();
    record["model"] = spec->model;
    record["version"] = spec->version;
    record["source"] = spec->source;
    auto id =
        base::concat("weights.", spec->model, ".", spec->version, ".", base::hash64(spec->source));
    const auto offset = co_await m_resources.log.append(
        version::state::RecordKind::Weights, std::move(id), std::move(record), APPEND_TIMEOUT);
    if (offset.ok())
        co_return publishedResponse(*offset);
    auto refusal = execution::Refusal {};
    refusal.code = "log_unavailable";
    refusal.ran = wire::RAN_UNKNOWN; // A repetition is safe: it has the same record id.
    refusal.message = std::string(base::toStd(offset.status().message()));
    refusal.step = "weights.append";
    refusal.retryAfterMs = RETRY_AFTER_MS;
    co_return refusalResponse(refusal);
}

auto StepService::findSession(const StepId &stepId) -> SessionPtr
{
    const auto lock = std::lock_guard(m_mutex);
    const auto found = m_sessions.find(stepId);
    return found == m_sessions.end() ? nullptr : found->second;
}

auto StepService::removeClosedSessions() -> void
{
    const auto lock = std::lock_guard(m_mutex);
    std::erase_if(m_sessions, [](const auto &entry) { return entry.second->isClosed(); });
    m_metrics.openSteps.set(static_cast<double>(m_sessions.size()));
}

auto StepService::sessions() const -> std::vector<SessionPtr>
{
    const auto lock = std::lock_guard(m_mutex);
    auto all = std::vector<SessionPtr>();
    for (const auto &[name, session] : m_sessions)
        all.push_back(session);
    return all;
}

auto StepService::closeStepsOfKey(const std::string &keyId) -> void
{
    for (const auto &session : sessions()) {
        if (session->caller().keyId != keyId)
            continue;
        asio::post(session->strand(), [session] {
            session->close(notRunRefusal(401, "key_withdrawn", "the key was withdrawn"));
        });
    }
}

auto StepService::drain() -> void
{
    {
        const auto lock = std::lock_guard(m_mutex);
        m_draining = true;
    }
    for (const auto &session : sessions())
        asio::post(session->strand(), [session] { session->drain(); });
}

auto StepService::openSteps() const -> std::size_t
{
    auto open = std::size_t(0);
    for (const auto &session : sessions())
        open += session->isClosed() ? 0 : 1;
    return open;
}

auto makeStepService(asio::io_context &context, execution::IRequestRunner &runner,
                     version::state::IPlatformLog &log, process::metrics::Registry &metrics,
                     StepPolicy policy) -> std::unique_ptr<IStepService>
{
    return std::make_unique<StepService>(context, runner, log, metrics, policy);
}

} // namespace nutmegplank::request::step
