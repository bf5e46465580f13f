#include "request/scoring/scoringcall.h"

#include "base/status.h"
#include "connection/http/httpclient.h"
#include "process/clock/clock.h"

namespace nutmegplank::request::scoring {

namespace {

namespace asio = boost::asio;
namespace http = connection::http;

constexpr auto STATUS_SERVER_ERROR = 500U;

auto isSuccess(std::uint32_t status) -> bool
{
    return status >= 200 && status < 300;
}

} // namespace

ScoringCall::ScoringCall(version::batch::Scorer scorer, std::string serverId,
                         base::Duration timeLimit, const serverprotocol::IServerProtocol &protocol)
    : m_scorer(std::move(scorer))
    , m_serverId(std::move(serverId))
    , m_timeLimit(timeLimit)
    , m_protocol(protocol)
{ }

auto ScoringCall::buildRequest() const -> http::Request
{
    auto request = http::Request();
    request.method = "POST";
    request.target = m_scorer.path;
    request.headers.push_back({ "Host", m_scorer.host });
    request.body = m_scorer.body;
    auto envelope = serverprotocol::Envelope();
    envelope.serverId = m_serverId;
    envelope.requestId = m_scorer.id;
    envelope.timeLeft = m_timeLimit;
    m_protocol.addEnvelope(request, envelope);
    return request;
}

auto ScoringCall::run(std::shared_ptr<connection::backend::BackendPool> pool)
    -> asio::awaitable<CallOutcome>
{
    const auto deadline = process::clock::now() + m_timeLimit;
    auto connection =
        co_await pool->acquire(connection::backend::Repeatable::Yes, process::clock::now());
    if (m_cancelled) {
        if (connection.ok())
            pool->release(std::move(*connection), process::clock::now());
        co_return CallOutcome { CallEnd::Cancelled, 0, {}, {} };
    }
    if (!connection.ok())
        co_return CallOutcome { CallEnd::Unreachable, 0, {}, base::describe(connection.status()) };
    m_connection = *connection;
    const auto request = buildRequest();
    const auto response = co_await http::exchangeWhole(*m_connection, request, deadline);
    auto outcome = CallOutcome();
    if (m_cancelled)
        outcome.end = CallEnd::Cancelled;
    else if (response.ok())
        outcome = classify(*response);
    else
        outcome.detail = base::describe(response.status());
    if (outcome.end == CallEnd::Lost || outcome.end == CallEnd::Cancelled)
        m_connection->close();
    else
        pool->release(m_connection, process::clock::now());
    m_connection.reset();
    co_return outcome;
}

//! A response counts only if it names the call: a server may send a second copy of an earlier one.
auto ScoringCall::classify(const http::Response &response) const -> CallOutcome
{
    const auto metadata = m_protocol.readHead(response);
    if (!metadata.requestId.empty() && metadata.requestId != m_scorer.id)
        return { CallEnd::Lost, response.status, {}, "request id does not match" };
    if (metadata.wrongServer)
        return { CallEnd::WrongServer, response.status, {}, "another server has the address" };
    if (metadata.notRun)
        return { CallEnd::NotRun, response.status, {}, "refused without being run" };
    if (metadata.requestId.empty())
        return { CallEnd::Lost, response.status, {}, "request id is missing" };
    if (isSuccess(response.status) && metadata.fromServer)
        return { CallEnd::Scored, response.status, metadata.stamp, {} };
    if (response.status == STATUS_SERVER_ERROR && metadata.fromServer)
        return { CallEnd::Failed, response.status, {}, "server reported an internal error" };
    return { CallEnd::Lost, response.status, {}, "not a response of the server to the call" };
}

auto ScoringCall::cancel() -> void
{
    m_cancelled = true;
    if (m_connection != nullptr)
        m_connection->close();
}

} // namespace nutmegplank::request::scoring
