#include "request/rollout/itemrun.h"

#include "base/status.h"
#include "process/clock/clock.h"

namespace nutmegplank::request::rollout {

namespace {

namespace asio = boost::asio;
namespace http = connection::http;

//! Bounds one read; whether an engine is silent is decided by who watches all runs of it.
constexpr auto LONGEST_READ = std::chrono::seconds(30);
constexpr auto SEND_TIME = std::chrono::seconds(2);
//! Body of a refusal: read so that the connection can be kept, but not for long.
constexpr auto REFUSAL_READ = std::chrono::milliseconds(500);

constexpr auto STATUS_OK = 200U;
constexpr auto STATUS_UNPROCESSABLE = 422U;
constexpr auto STATUS_SERVER_ERROR = 500U;

} // namespace

ItemRun::ItemRun(http::Request request, std::string requestId,
                 std::shared_ptr<Transcript> transcript,
                 const serverprotocol::IServerProtocol &protocol)
    : m_request(std::move(request))
    , m_requestId(std::move(requestId))
    , m_transcript(std::move(transcript))
    , m_protocol(protocol)
{ }

auto ItemRun::run(std::shared_ptr<connection::backend::BackendPool> pool)
    -> asio::awaitable<RunOutcome>
{
    m_startedAt = m_progressAt = process::clock::now();
    auto connection =
        co_await pool->acquire(connection::backend::Repeatable::Yes, process::clock::now());
    if (m_cancelled.has_value())
        co_return *m_cancelled;
    if (!connection.ok())
        co_return RunOutcome { RunEnd::Unreachable, 0, base::describe(connection.status()), {} };
    m_connection = *connection;
    auto outcome = co_await exchange(*m_connection);
    if (m_cancelled.has_value())
        outcome = *m_cancelled;
    outcome.weightVersion = m_weightVersion;
    const auto whole = outcome.end != RunEnd::Broken && outcome.end != RunEnd::Malformed
        && outcome.end != RunEnd::Outdated && outcome.end != RunEnd::Cancelled;
    if (whole)
        pool->release(m_connection, process::clock::now());
    else
        m_connection->close();
    m_connection.reset();
    co_return outcome;
}

auto ItemRun::exchange(http::IHttpConnection &connection) -> asio::awaitable<RunOutcome>
{
    const auto sent = co_await connection.send(m_request, SEND_TIME);
    if (!sent.ok())
        co_return RunOutcome { RunEnd::Broken, 0, base::describe(sent), {} };
    const auto head = co_await connection.readHead(LONGEST_READ);
    if (!head.ok())
        co_return RunOutcome { RunEnd::Broken, 0, base::describe(head.status()), {} };
    m_gotHead = true;
    const auto verdict = judgeHead(*head);
    if (!verdict.has_value())
        co_return co_await readEvents(connection);
    while (verdict->end != RunEnd::Malformed) {
        const auto part = co_await connection.readBody(REFUSAL_READ);
        if (!part.ok() || !part->has_value())
            break;
    }
    co_return *verdict;
}

//! Nothing when the answer is a stream of events to be read.
auto ItemRun::judgeHead(const http::Response &head) -> std::optional<RunOutcome>
{
    const auto meaning = m_protocol.readHead(head);
    if (!meaning.requestId.empty() && meaning.requestId != m_requestId)
        return RunOutcome { RunEnd::Malformed, head.status, "answers another request", {} };
    if (head.status == STATUS_OK) {
        m_weightVersion = meaning.weightVersion;
        m_transcript->beginRun(meaning.weightVersion);
        return std::nullopt;
    }
    if (meaning.wrongServer)
        return RunOutcome { RunEnd::WrongServer, head.status, "another server or version", {} };
    if (meaning.notRun)
        return RunOutcome { RunEnd::NotRun, head.status, "refused by the server", {} };
    if (head.status == STATUS_UNPROCESSABLE)
        return RunOutcome { RunEnd::Impossible, head.status, "the server rejects the item", {} };
    if (head.status == STATUS_SERVER_ERROR)
        return RunOutcome { RunEnd::Failed, head.status, "the server failed", {} };
    return RunOutcome { RunEnd::Broken, head.status, "unexpected status", {} };
}

auto ItemRun::readEvents(http::IHttpConnection &connection) -> asio::awaitable<RunOutcome>
{
    auto reader = EventReader(m_protocol.versionField());
    while (true) {
        const auto part = co_await connection.readBody(LONGEST_READ);
        if (!part.ok())
            co_return RunOutcome { RunEnd::Broken, STATUS_OK, base::describe(part.status()), {} };
        if (!part->has_value())
            break;
        const auto events = reader.feed(**part);
        if (!events.has_value())
            co_return RunOutcome { RunEnd::Malformed, STATUS_OK, "no event stream", {} };
        const auto problem = takeEvents(*events);
        if (problem.has_value())
            co_return *problem;
    }
    if (!reader.atBoundary() || m_transcript->empty())
        co_return RunOutcome { RunEnd::Broken, STATUS_OK, "ended within an event", {} };
    co_return RunOutcome { RunEnd::Completed, STATUS_OK, {}, {} };
}

auto ItemRun::takeEvents(const std::vector<Event> &events) -> std::optional<RunOutcome>
{
    for (const auto &event : events) {
        if (event.weightVersion.has_value())
            m_weightVersion = event.weightVersion;
        switch (m_transcript->append(event)) {
        case AppendVerdict::Taken:
            break;
        case AppendVerdict::Gap:
            return RunOutcome { RunEnd::Malformed, STATUS_OK, "an event is missing or twice", {} };
        case AppendVerdict::NoVersion:
            return RunOutcome { RunEnd::Malformed, STATUS_OK, "no weight version", {} };
        case AppendVerdict::OldVersion:
            return RunOutcome { RunEnd::Outdated, STATUS_OK, "weights older than allowed", {} };
        case AppendVerdict::Mixed:
            return RunOutcome { RunEnd::Outdated, STATUS_OK, "weights changed in a run", {} };
        }
        ++m_runEvents;
    }
    if (!events.empty())
        m_progressAt = process::clock::now();
    return std::nullopt;
}

auto ItemRun::cancel(RunEnd end, std::string reason) -> void
{
    if (m_cancelled.has_value())
        return;
    m_cancelled = RunOutcome { end, 0, std::move(reason), {} };
    if (m_connection != nullptr)
        m_connection->close();
}

} // namespace nutmegplank::request::rollout
