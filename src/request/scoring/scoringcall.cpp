#include "request/scoring/scoringcall.h"

#include "base/status.h"
#include "connection/http/httpclient.h"
#include "process/clock/clock.h"
#include "request/serverprotocol/ownresponse.h"

namespace nutmegplank::request::scoring {

namespace {

namespace asio = boost::asio;
namespace http = connection::http;

//! A step that begins at the deadline still takes what has already arrived.
constexpr auto MIN_STEP_TIME = base::Duration(std::chrono::milliseconds(1));
constexpr auto STATUS_SERVER_ERROR = 500U;

auto isSuccess(std::uint32_t status) -> bool
{
    return status >= 200 && status < 300;
}

} // namespace

ScoringCall::ScoringCall(version::batch::Scorer scorer, std::string serverId,
                         base::Duration timeLimit, const serverprotocol::IServerProtocol &protocol,
                         serverprotocol::HeadObserver onHead)
    : m_scorer(std::move(scorer))
    , m_serverId(std::move(serverId))
    , m_timeLimit(timeLimit)
    , m_protocol(protocol)
    , m_onHead(std::move(onHead))
{ }

auto ScoringCall::sizeOf(const version::batch::Scorer &scorer) -> process::health::RequestSize
{
    auto size = process::health::RequestSize();
    size.bodyBytes = scorer.body.size();
    return size;
}

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
    auto outcome = co_await exchange(*m_connection, deadline);
    if (m_cancelled)
        outcome = CallOutcome { CallEnd::Cancelled, 0, {}, {} };
    // A second copy of an error response would look like the response to the scorer's next call.
    const auto isReusable =
        !m_skippedOthers && (outcome.end == CallEnd::Scored || outcome.end == CallEnd::NotRun);
    if (isReusable)
        pool->release(m_connection, process::clock::now());
    else
        m_connection->close();
    m_connection.reset();
    co_return outcome;
}

auto ScoringCall::exchange(http::IHttpConnection &connection, base::TimePoint deadline)
    -> asio::awaitable<CallOutcome>
{
    const auto timeLeft = [deadline] {
        return std::max(MIN_STEP_TIME, deadline - process::clock::now());
    };
    const auto request = buildRequest();
    const auto sent = co_await connection.send(request, timeLeft());
    if (!sent.ok())
        co_return CallOutcome { CallEnd::Lost, 0, {}, base::describe(sent) };
    auto response =
        co_await serverprotocol::readOwnResponse(connection, m_protocol, m_scorer.id, timeLeft);
    if (!response.ok())
        co_return CallOutcome { CallEnd::Lost, 0, {}, base::describe(response.status()) };
    m_skippedOthers = response->skippedOthers;
    m_onHead(response->metadata);
    // The score is the stamp; the body of a scorer in trouble may have no end.
    const auto read = co_await http::discardBody(connection, timeLeft);
    if (!read.ok())
        co_return CallOutcome { CallEnd::Lost, 0, {}, base::describe(read) };
    co_return classify(response->head, response->metadata);
}

auto ScoringCall::classify(const http::Response &response,
                           const serverprotocol::ResponseMetadata &metadata) const -> CallOutcome
{
    if (metadata.wrongServer)
        return { CallEnd::WrongServer, response.status, {}, "another server has the address" };
    if (metadata.faultsRequest())
        return { CallEnd::Rejected, response.status, {}, "call faulted by the server" };
    if (metadata.notRun)
        return { CallEnd::NotRun, response.status, {}, "refused without being run" };
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
