#include "request/rollout/itemrun.h"

#include <limits>

#include "base/status.h"
#include "process/clock/clock.h"
#include "request/serverprotocol/ownresponse.h"

namespace nutmegplank::request::rollout {

namespace {

namespace asio = boost::asio;
namespace http = connection::http;

//! Limit of a single read. Silent engines are detected earlier, by the executor's monitoring of
//! runs.
constexpr auto READ_TIMEOUT = std::chrono::seconds(30);
constexpr auto SEND_TIMEOUT = std::chrono::seconds(2);
//! Limit of each read of a refusal's body, which is read only so that the connection can be reused.
constexpr auto REFUSAL_BODY_TIMEOUT = std::chrono::milliseconds(500);

//! What an event has beside its data: its id, the weight version and the names of the fields.
constexpr auto EVENT_FIELDS_BYTES = std::size_t(1024);

constexpr auto STATUS_OK = 200U;
constexpr auto STATUS_UNPROCESSABLE = 422U;
constexpr auto STATUS_TOO_MANY = 429U;
constexpr auto STATUS_SERVER_ERROR = 500U;

auto readTimeout() -> base::Duration
{
    return READ_TIMEOUT;
}

auto largestEvent(const TextLimit &limit) -> std::size_t
{
    const auto mostData = std::numeric_limits<std::size_t>::max() - EVENT_FIELDS_BYTES;
    return limit.bytes < mostData ? limit.bytes + EVENT_FIELDS_BYTES : EventReader::MAX_EVENT_BYTES;
}

} // namespace

ItemRun::ItemRun(http::Request request, std::string requestId, process::health::RequestSize size,
                 std::shared_ptr<Transcript> transcript,
                 const serverprotocol::IServerProtocol &protocol, std::string software,
                 serverprotocol::HeadObserver onHead)
    : m_request(std::move(request))
    , m_requestId(std::move(requestId))
    , m_size(size)
    , m_transcript(std::move(transcript))
    , m_protocol(protocol)
    , m_software(std::move(software))
    , m_onHead(std::move(onHead))
{ }

auto ItemRun::run(std::shared_ptr<connection::backend::BackendPool> pool)
    -> asio::awaitable<RunOutcome>
{
    m_startedAt = m_lastProgressAt = process::clock::now();
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
    // A second copy of an error response would look like the response to the item's next run.
    const auto isReusable = !m_skippedOthers
        && (outcome.end == RunEnd::Completed || outcome.end == RunEnd::NotRun
            || outcome.end == RunEnd::WrongServer);
    if (isReusable)
        pool->release(m_connection, process::clock::now());
    else
        m_connection->close();
    m_connection.reset();
    co_return outcome;
}

auto ItemRun::exchange(http::IHttpConnection &connection) -> asio::awaitable<RunOutcome>
{
    const auto sent = co_await connection.send(m_request, SEND_TIMEOUT);
    if (!sent.ok())
        co_return RunOutcome { RunEnd::Broken, 0, base::describe(sent), {} };
    const auto response =
        co_await serverprotocol::readOwnResponse(connection, m_protocol, m_requestId, readTimeout);
    if (!response.ok() && response.status().code() == absl::StatusCode::kDataLoss)
        co_return RunOutcome { RunEnd::Foreign, 0, base::describe(response.status()), {} };
    if (!response.ok())
        co_return RunOutcome { RunEnd::Broken, 0, base::describe(response.status()), {} };
    m_gotHead = true;
    m_skippedOthers = response->skippedOthers;
    m_onHead(response->metadata);
    const auto refusal = classifyHead(response->head, response->metadata);
    if (!refusal.has_value())
        co_return co_await readEvents(connection);
    while (true) {
        const auto part = co_await connection.readBody(REFUSAL_BODY_TIMEOUT);
        if (!part.ok() || !part->has_value())
            break;
    }
    co_return *refusal;
}

//! nullopt if the response is an event stream that has to be read.
auto ItemRun::classifyHead(const http::Response &head,
                           const serverprotocol::ResponseMetadata &metadata)
    -> std::optional<RunOutcome>
{
    if (head.status == STATUS_OK && !metadata.fromServer)
        return RunOutcome { RunEnd::Unstamped, head.status, "response without a stamp", {} };
    if (head.status == STATUS_OK) {
        m_weightVersion = metadata.weightVersion;
        m_transcript->beginRun(metadata.weightVersion, m_software);
        return std::nullopt;
    }
    if (metadata.wrongServer)
        return RunOutcome {
            RunEnd::WrongServer, head.status, "other server or weight version", {}
        };
    if (head.status == STATUS_UNPROCESSABLE)
        return RunOutcome { RunEnd::Impossible, head.status, "item rejected by the engine", {} };
    if (metadata.faultsRequest())
        return RunOutcome { RunEnd::Rejected, head.status, "item faulted by the engine", {} };
    if (metadata.notRun || head.status == STATUS_TOO_MANY)
        return RunOutcome { RunEnd::NotRun, head.status, "refused without being run", {} };
    if (head.status == STATUS_SERVER_ERROR)
        return RunOutcome { RunEnd::Failed, head.status, "server reported an internal error", {} };
    return RunOutcome { RunEnd::Broken, head.status, "unexpected HTTP status", {} };
}

auto ItemRun::readEvents(http::IHttpConnection &connection) -> asio::awaitable<RunOutcome>
{
    auto reader = EventReader(m_protocol.versionField(), largestEvent(m_transcript->limit()));
    while (true) {
        const auto part = co_await connection.readBody(READ_TIMEOUT);
        if (!part.ok())
            co_return RunOutcome { RunEnd::Broken, STATUS_OK, base::describe(part.status()), {} };
        if (!part->has_value())
            break;
        const auto events = reader.feed(**part);
        if (!events.has_value())
            co_return RunOutcome { reader.tooLarge() ? RunEnd::Oversized : RunEnd::Malformed,
                                   STATUS_OK,
                                   std::string(reader.problem()),
                                   {} };
        const auto failure = appendEvents(*events);
        if (failure.has_value())
            co_return *failure;
    }
    if (!reader.atBoundary() || m_transcript->empty())
        co_return RunOutcome { RunEnd::Broken, STATUS_OK, "event stream ended early", {} };
    co_return RunOutcome { RunEnd::Completed, STATUS_OK, {}, {} };
}

auto ItemRun::appendEvents(const std::vector<Event> &events) -> std::optional<RunOutcome>
{
    for (const auto &event : events) {
        if (event.weightVersion.has_value())
            m_weightVersion = event.weightVersion;
        switch (m_transcript->append(event)) {
        case AppendResult::Appended:
            break;
        case AppendResult::Gap:
            return RunOutcome { RunEnd::Malformed, STATUS_OK, "event id is out of sequence", {} };
        case AppendResult::NoVersion:
            return RunOutcome { RunEnd::Malformed, STATUS_OK, "weight version is missing", {} };
        case AppendResult::TooLarge:
            return RunOutcome {
                RunEnd::Oversized, STATUS_OK, "more text than the item may have", {}
            };
        case AppendResult::OldVersion:
            return RunOutcome { RunEnd::Outdated, STATUS_OK, "weight version too old", {} };
        case AppendResult::MixedVersions:
            return RunOutcome { RunEnd::Outdated, STATUS_OK, "weight version changed", {} };
        }
        ++m_runEvents;
    }
    if (!events.empty())
        m_lastProgressAt = process::clock::now();
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
