#include "process/admin/internal/adminhandler.h"

#include <charconv>

#include <boost/json.hpp>

#include "base/hash.h"
#include "base/jsonreader.h"
#include "base/status.h"
#include "base/text.h"
#include "process/admin/internal/adminviews.h"
#include "process/admin/internal/inforce.h"
#include "process/clock/clock.h"
#include "process/logging/logging.h"
#include "version/configuration/change.h"

namespace nutmegplank::process::admin {

namespace {

namespace asio = boost::asio;
namespace http = connection::http;
namespace json = boost::json;
namespace configuration = version::configuration;

constexpr auto PREFIX = std::string_view("/admin/v1/");
constexpr auto BEARER = std::string_view("Bearer ");
constexpr auto VERSIONS_REMEMBERED = std::size_t(64);
constexpr auto APPEND_TIMEOUT = std::chrono::seconds(8);
constexpr auto ANY_VERSION = base::IntegerRange { 0, std::numeric_limits<std::int64_t>::max() };

auto numberFrom(const std::string &target, std::string_view name) -> std::uint64_t
{
    const auto text = http::queryValue(target, name);
    auto number = std::uint64_t(0);
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

auto objectResponse(std::uint32_t status, const json::object &object) -> http::Response
{
    return http::jsonResponse(status, json::serialize(object));
}

auto problemResponse(std::uint32_t status, std::string_view code, std::string_view message)
    -> http::Response
{
    auto error = json::object { { "code", code }, { "message", message } };
    return objectResponse(status, json::object { { "error", std::move(error) } });
}

//! What a POST to changes asks for.
struct ChangeRequest
{
    std::string recordId; //!< Chosen by the operator's program, so that a repeat counts once.
    std::uint64_t baseVersion = 0;
    std::string why;
    std::string what;
    std::vector<configuration::Change> changes;
};

auto parseChangeRequest(const std::string &body) -> absl::StatusOr<ChangeRequest>
{
    const auto value = base::parseJson(body);
    if (!value.ok())
        return value.status();
    auto reader = base::ObjectReader(*value, "change");
    auto request = ChangeRequest();
    request.recordId = reader.string("id", "");
    request.baseVersion = static_cast<std::uint64_t>(reader.integer("base_version", ANY_VERSION));
    request.why = reader.string("why", "");
    request.what = reader.string("what");
    auto changes = configuration::parseChanges(reader.raw("changes"), "changes");
    const auto status = reader.finish();
    if (!status.ok())
        return status;
    if (!changes.ok())
        return changes.status();
    if (changes->empty())
        return absl::InvalidArgumentError("changes: must hold at least one change");
    request.changes = *std::move(changes);
    return request;
}

//! Refuses what replay would refuse, before it stands in the log. A change from another version is
//! left to replay, which alone decides races and knows repeats.
auto checkChange(const configuration::Configuration &current, const ChangeRequest &request)
    -> absl::Status
{
    if (request.baseVersion != current.version)
        return absl::OkStatus();
    return configuration::applyChanges(current, request.changes, current.version + 1).status();
}

} // namespace

AdminHandler::AdminHandler(AdminDependencies dependencies)
    : m_dependencies(std::move(dependencies))
{ }

auto AdminHandler::start() -> void
{
    const auto weak = weak_from_this();
    noteVersion(m_dependencies.log.state()->configuration->version, process::clock::now());
    m_dependencies.log.onChange([weak](const version::state::LogStatePtr &state) {
        const auto self = weak.lock();
        if (self != nullptr)
            self->noteVersion(state->configuration->version, process::clock::now());
    });
}

auto AdminHandler::handle(http::Request request, http::IHttpResponder &responder)
    -> asio::awaitable<void>
{
    const auto self = shared_from_this();
    auto response = co_await answer(std::move(request));
    co_await responder.respond(std::move(response));
}

auto AdminHandler::answer(http::Request request) -> asio::awaitable<http::Response>
{
    const auto who = operatorOf(request);
    if (!who)
        co_return problemResponse(401, "unauthorized", "needs the key of an operator");
    const auto path = http::pathOf(request.target);
    const auto call = path.starts_with(PREFIX) ? path.substr(PREFIX.size()) : std::string_view();
    if (call == "changes" && request.method == "POST")
        co_return co_await change(*who, std::move(request.body));
    if (request.method != "GET")
        co_return problemResponse(405, "method_not_allowed", "allowed: GET, and POST for changes");
    if (call == "state")
        co_return stateResponse();
    if (call == "members")
        co_return membersResponse();
    if (call == "servers")
        co_return serversResponse();
    if (call == "audit")
        co_return auditResponse(numberFrom(request.target, "from"));
    if (call == "in-force")
        co_return inForceResponse(numberFrom(request.target, "version"));
    co_return problemResponse(404, "not_found",
                              "calls: state, members, servers, audit, in-force, changes");
}

auto AdminHandler::operatorOf(const http::Request &request) const -> std::optional<std::string>
{
    const auto header = http::headerValue(request.headers, "Authorization");
    if (!header.starts_with(BEARER))
        return std::nullopt;
    const auto hash = base::sha256Hex(std::string_view(header).substr(BEARER.size()));
    auto name = std::optional<std::string>();
    // All are compared, so that the time tells nothing about which one came near.
    for (const auto &known : m_dependencies.operators) {
        if (base::equalConstantTime(known.sha256, hash))
            name = known.name;
    }
    return name;
}

auto AdminHandler::stateResponse() const -> http::Response
{
    auto object = stateView(*m_dependencies.log.state());
    const auto age = process::clock::now() - m_dependencies.log.lastConfirmed();
    object["log_confirmed_ms_ago"] = base::toMilliseconds(age);
    object["status"] = m_dependencies.status ? m_dependencies.status() : json::object();
    return objectResponse(200, object);
}

auto AdminHandler::membersResponse() const -> http::Response
{
    const auto view = m_dependencies.membership.view();
    return objectResponse(
        200, membersView(*view, m_dependencies.membership.self().id, process::clock::now()));
}

auto AdminHandler::serversResponse() const -> http::Response
{
    return objectResponse(200, serversView(*m_dependencies.inventory.view()));
}

auto AdminHandler::auditResponse(std::uint64_t from) const -> http::Response
{
    return objectResponse(200, auditView(*m_dependencies.log.state(), from));
}

auto AdminHandler::inForceResponse(std::uint64_t version) const -> http::Response
{
    const auto now = process::clock::now();
    auto question = InForceQuestion();
    question.version = version;
    question.ownVersion = m_dependencies.log.state()->configuration->version;
    question.ownId = m_dependencies.membership.self().id;
    question.versionSeen = versionSeen(version);
    question.confirmBound = m_dependencies.confirmBound;
    const auto view = m_dependencies.membership.view();
    const auto verdict = judgeInForce(view->members, question, now);
    return objectResponse(200,
                          json::object { { "in_force", verdict.inForce },
                                         { "version", version },
                                         { "members", view->members.size() },
                                         { "behind", json::value_from(verdict.behind) },
                                         { "fenced", json::value_from(verdict.fenced) } });
}

auto AdminHandler::change(std::string who, std::string body) -> asio::awaitable<http::Response>
{
    auto request = parseChangeRequest(body);
    if (!request.ok())
        co_return problemResponse(400, "invalid", base::toStd(request.status().message()));
    const auto valid = checkChange(*m_dependencies.log.state()->configuration, *request);
    if (!valid.ok())
        co_return problemResponse(400, "invalid", base::toStd(valid.message()));
    if (request->recordId.empty())
        request->recordId = base::randomId();
    auto record = json::object { { "base_version", request->baseVersion },
                                 { "who", who },
                                 { "why", request->why },
                                 { "what", request->what },
                                 { "changes", configuration::toJson(request->changes) } };
    // The operator's name is part of the id, so that nobody can take another's id away.
    auto recordId = base::concat("change/", who, "/", request->recordId);
    const auto offset =
        co_await m_dependencies.log.append(version::state::RecordKind::ConfigurationChange,
                                           std::move(recordId), std::move(record), APPEND_TIMEOUT);
    if (!offset.ok())
        co_return changeFailed(offset.status());
    logging::info("configuration.changed",
                  { { "version", *offset },
                    { "who", json::value(who) },
                    { "what", json::value(request->what) } });
    co_return objectResponse(200, json::object { { "version", *offset } });
}

auto AdminHandler::changeFailed(const absl::Status &status) const -> http::Response
{
    if (status.code() == absl::StatusCode::kInvalidArgument)
        return problemResponse(400, "invalid", base::toStd(status.message()));
    if (status.code() != absl::StatusCode::kAborted)
        return problemResponse(503, "unknown",
                               base::concat("the change may still come into force; repeat it with "
                                            "the same id: ",
                                            base::describe(status)));
    const auto state = m_dependencies.log.state();
    auto error = json::object { { "code", "conflict" },
                                { "message", base::toStd(status.message()) },
                                { "version", state->configuration->version } };
    for (const auto &entry : state->audit) {
        if (entry->offset == state->configuration->version)
            error["winner"] = json::object { { "who", entry->who },
                                             { "what", entry->what },
                                             { "why", entry->why },
                                             { "version", entry->offset } };
    }
    return objectResponse(409, json::object { { "error", std::move(error) } });
}

auto AdminHandler::noteVersion(std::uint64_t version, base::TimePoint now) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    m_seen.emplace(version, now);
    if (m_seen.size() > VERSIONS_REMEMBERED)
        m_seen.erase(m_seen.begin());
}

auto AdminHandler::versionSeen(std::uint64_t version) const -> base::TimePoint
{
    const auto lock = std::lock_guard(m_mutex);
    const auto found = m_seen.lower_bound(version);
    return found == m_seen.end() ? process::clock::now() : found->second;
}

auto makeAdminHandler(AdminDependencies dependencies) -> http::HttpHandler
{
    auto handler = std::make_shared<AdminHandler>(std::move(dependencies));
    handler->start();
    return [handler](http::Request request, http::IHttpResponder &responder) {
        return handler->handle(std::move(request), responder);
    };
}

} // namespace nutmegplank::process::admin
