#include "request/forward/streamversions.h"

#include <algorithm>

#include "process/health/confirmedsoftware.h"
#include "request/forward/servicechoice.h"

namespace nutmegplank::request::forward {

namespace {

namespace asio = boost::asio;
using process::servers::Server;

//! When a caller may come back that needs the log: it is back within a second or two.
constexpr auto LOG_RETRY = std::chrono::milliseconds(1000);

auto isResumable(const version::routing::Route &route) -> bool
{
    return route.kind == version::routing::RouteKind::Stream && route.resumable;
}

} // namespace

//! Software version of the process that answers for \a server; empty if not known for certain.
auto StreamVersions::softwareOf(const Server &server) const -> std::string
{
    const auto isSure = process::health::isSoftwareSure(server, m_servers, m_health);
    return isSure ? server.record.software : std::string();
}

auto StreamVersions::isLeft(const std::string &service, const std::string &software) const -> bool
{
    return std::ranges::any_of(m_servers.usableOf(service), [&](const Server *server) {
        return server->record.software == software;
    });
}

auto StreamVersions::prepare(ForwardCall &call) -> asio::awaitable<std::optional<ForwardResult>>
{
    if (!isResumable(call.route) || !call.resumesStream)
        co_return std::nullopt;
    const auto service = chooseService(call);
    const auto origin = co_await m_origins.find(service, call.streamBegunBy, call.caller);
    auto result = ForwardResult();
    result.end = ForwardOutcome::CannotResume;
    if (!origin.software.has_value()) {
        result.detail = "it is not known which software version began the stream";
        if (origin.mayBeKnownLater) {
            result.end = ForwardOutcome::NotRun;
            result.retryAfter = LOG_RETRY;
        }
        co_return result;
    }
    call.software = *origin.software;
    if (isLeft(service, call.software))
        co_return std::nullopt;
    result.detail = "no server of the software version that began the stream is left";
    co_return result;
}

auto StreamVersions::mustRecord(const ForwardCall &call, const Server &server) const -> bool
{
    if (!isResumable(call.route) || call.resumesStream)
        return false;
    const auto software = softwareOf(server);
    if (call.originRecorded)
        return software.empty() || software != call.software;
    return m_origins.mustRecord(server.record.service, software);
}

auto StreamVersions::record(ForwardCall &call, const Server &server, bool mayHaveRun)
    -> asio::awaitable<std::optional<ForwardResult>>
{
    call.software = softwareOf(server);
    auto origin = version::streamorigin::StreamOrigin { call.requestId, server.record.service,
                                                        call.software, call.caller };
    call.originRecorded = co_await m_origins.record(std::move(origin));
    if (call.originRecorded)
        co_return std::nullopt;
    auto result = ForwardResult();
    result.end = mayHaveRun ? ForwardOutcome::Unknown : ForwardOutcome::NotRun;
    result.detail = "the software version of the server cannot be recorded";
    result.retryAfter = LOG_RETRY;
    co_return result;
}

auto StreamVersions::verify(const ForwardCall &call, const Server &server) -> asio::awaitable<void>
{
    const auto *current = m_servers.find(server.record.id);
    const auto isSame = current == nullptr || current->record.software == server.record.software;
    if (!isResumable(call.route) || call.resumesStream || isSame)
        co_return;
    auto origin = version::streamorigin::StreamOrigin { call.requestId, server.record.service, "",
                                                        call.caller };
    co_await m_origins.record(std::move(origin));
}

auto StreamVersions::maySend(const ForwardCall &call, const Server &server) const -> bool
{
    if (!isResumable(call.route))
        return true;
    if (!call.software.empty())
        return softwareOf(server) == call.software;
    return m_origins.canRecord() || !mustRecord(call, server);
}

} // namespace nutmegplank::request::forward
