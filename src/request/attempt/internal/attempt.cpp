#include "request/attempt/attempt.h"

#include <charconv>

#include "base/status.h"
#include "request/attempt/enginestream.h"

namespace nutmegplank::request::attempt {

namespace {

namespace asio = boost::asio;
namespace http = connection::http;
using connection::backend::Repeatable;

constexpr auto STATUS_OK = 200U;
constexpr auto STATUS_BUSY = 503U;
constexpr auto SHORTEST_WAIT = base::Duration(1000);
constexpr auto LARGEST_ANSWER = std::size_t(32 * 1024 * 1024); //!< Bytes, of one not streamed.
constexpr auto MILLISECONDS_A_SECOND = 1000U;

auto numberOf(const std::string &text) -> std::uint32_t
{
    auto number = std::uint32_t(0);
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

auto retryAfter(const http::Response &head) -> std::uint32_t
{
    const auto milliseconds = numberOf(http::headerValue(head.headers, "Retry-After-Ms"));
    if (milliseconds > 0)
        return milliseconds;
    return numberOf(http::headerValue(head.headers, "Retry-After")) * MILLISECONDS_A_SECOND;
}

} // namespace

auto Attempt::cut(wire::FailureCode code, std::string message) -> void
{
    if (m_cutCode != wire::FAILURE_NONE)
        return;
    m_cutCode = code;
    m_cutMessage = std::move(message);
    if (m_connection != nullptr)
        m_connection->close();
}

auto Attempt::left() const -> base::Duration
{
    return std::max(SHORTEST_WAIT, m_spec.deadline - m_hooks.now());
}

auto Attempt::patience() const -> base::Duration
{
    // A plain service may think for as long as its caller waits; an engine makes steady progress.
    return m_spec.engine ? std::min(left(), m_spec.progressTime) : left();
}

auto Attempt::failed(wire::FailureCode code, const absl::Status &status) const -> AttemptOutcome
{
    auto outcome = AttemptOutcome();
    outcome.failure = code;
    outcome.ran = m_started ? wire::RAN_UNKNOWN : wire::RAN_NOT_RUN;
    outcome.message = std::string(status.message());
    outcome.step = base::errorPlace(status).step;
    if (m_cutCode != wire::FAILURE_NONE) {
        outcome.failure = m_cutCode;
        outcome.message = m_cutMessage;
    }
    return outcome;
}

auto Attempt::failedByConnection(const absl::Status &status) const -> AttemptOutcome
{
    const auto late = status.code() == absl::StatusCode::kDeadlineExceeded;
    if (late && m_hooks.now() >= m_spec.deadline)
        return failed(wire::FAILURE_DEADLINE, status);
    auto outcome = failed(late ? wire::FAILURE_SILENT : wire::FAILURE_TRUNCATED, status);
    outcome.connectionLost = m_cutCode == wire::FAILURE_NONE;
    return outcome;
}

auto Attempt::run(connection::backend::BackendPool &pool) -> asio::awaitable<AttemptOutcome>
{
    const auto repeatable = m_spec.idempotent ? Repeatable::Yes : Repeatable::No;
    auto connection = co_await pool.acquire(repeatable, m_hooks.now());
    if (!connection.ok()) {
        auto outcome = failed(wire::FAILURE_CONNECT, connection.status());
        outcome.connectionLost = m_cutCode == wire::FAILURE_NONE;
        co_return outcome;
    }
    m_connection = *connection;
    if (m_cutCode != wire::FAILURE_NONE) {
        pool.release(std::move(m_connection), m_hooks.now());
        co_return failed(m_cutCode, absl::OkStatus());
    }
    if (m_hooks.now() >= m_spec.deadline) {
        pool.release(std::move(m_connection), m_hooks.now());
        co_return failed(wire::FAILURE_DEADLINE, absl::DeadlineExceededError("no time left"));
    }
    const auto begun = m_hooks.now();
    auto outcome = co_await exchange(*m_connection);
    outcome.serverTime = m_hooks.now() - begun;
    pool.release(std::move(m_connection), m_hooks.now());
    co_return outcome;
}

auto Attempt::exchange(http::IHttpConnection &connection) -> asio::awaitable<AttemptOutcome>
{
    const auto begun = m_hooks.now();
    auto onFirstByte = std::function<void()>([this] {
        m_started = true;
        m_hooks.onStarted();
    });
    const auto sent = co_await connection.send(m_spec.request, patience(), onFirstByte);
    if (!sent.ok())
        co_return failedByConnection(sent);
    auto head = co_await connection.readHead(patience());
    if (!head.ok())
        co_return failedByConnection(head.status());
    m_hooks.onBootId(http::headerValue(head->headers, "X-Boot-Id"));
    const auto refused =
        head->status == STATUS_BUSY && http::headerValue(head->headers, "X-Not-Run") == "true";
    if (!m_spec.engine && !refused)
        m_hooks.onLatency(m_hooks.now() - begun);
    auto rest = refused ? refusedByServer(connection, std::move(*head))
                        : readAnswer(connection, std::move(*head));
    co_return co_await std::move(rest);
}

auto Attempt::refusedByServer(http::IHttpConnection &connection, http::Response head)
    -> asio::awaitable<AttemptOutcome>
{
    auto outcome = AttemptOutcome();
    outcome.failure = wire::FAILURE_SERVER_REFUSED;
    outcome.ran = wire::RAN_NOT_RUN;
    outcome.message = "the backend server is too busy";
    outcome.step = "attempt.answer";
    outcome.retryAfterMs = retryAfter(head);
    auto part = co_await connection.readBody(patience());
    while (part.ok() && part->has_value())
        part = co_await connection.readBody(patience());
    co_return outcome;
}

auto Attempt::readAnswer(http::IHttpConnection &connection, http::Response head)
    -> asio::awaitable<AttemptOutcome>
{
    const auto checked = m_spec.engine && head.status == STATUS_OK;
    auto events = EngineStream(checked ? resumedTokens(m_spec.request.body) : 0);
    auto outcome = AttemptOutcome();
    auto lastPart = m_hooks.now();
    while (true) {
        auto part = co_await connection.readBody(patience());
        if (!part.ok())
            co_return failedByConnection(part.status());
        if (!part->has_value())
            break;
        const auto read = checked ? events.feed(**part) : absl::OkStatus();
        if (!read.ok()) {
            connection.close();
            co_return failed(wire::FAILURE_TRUNCATED, read);
        }
        if (checked && events.lastTokens() > 0) {
            const auto now = m_hooks.now();
            // The first tokens also waited for the prompt; the steps after them tell the load.
            if (events.generatedTokens() > events.lastTokens())
                m_hooks.onLatency((now - lastPart) / events.lastTokens());
            lastPart = now;
            m_hooks.onWeightVersion(events.weightVersion());
        }
        if (!m_spec.stream) {
            outcome.body += **part;
            if (outcome.body.size() > LARGEST_ANSWER) {
                connection.close();
                co_return failed(wire::FAILURE_TRUNCATED,
                                 absl::ResourceExhaustedError("the answer is too large"));
            }
            continue;
        }
        const auto passed = co_await m_hooks.onPart(outcome.partCount, head, std::move(**part));
        if (!passed.ok()) {
            connection.close();
            co_return failed(wire::FAILURE_CANCELLED, passed);
        }
        ++outcome.partCount;
    }
    const auto whole = checked ? events.finish() : absl::OkStatus();
    if (!whole.ok())
        co_return failed(wire::FAILURE_TRUNCATED, whole);
    outcome.ran = wire::RAN_UNKNOWN;
    outcome.status = head.status;
    outcome.headers = std::move(head.headers);
    outcome.ranges = events.ranges();
    outcome.promptTokens = events.promptTokens();
    outcome.generatedTokens = checked ? events.generatedTokens() : 0;
    co_return outcome;
}

} // namespace nutmegplank::request::attempt
