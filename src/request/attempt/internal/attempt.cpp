#include "request/attempt/attempt.h"

#include <charconv>

#include "base/status.h"
#include "process/memory/heldbytes.h"
#include "request/attempt/enginestream.h"

namespace nutmegplank::request::attempt {

namespace {

namespace asio = boost::asio;
namespace http = connection::http;
using connection::backend::Repeatable;

constexpr auto STATUS_OK = 200U;
constexpr auto FIRST_REDIRECTION = 300U;
constexpr auto STATUS_UNAVAILABLE = 503U;
constexpr auto MIN_IO_TIMEOUT = base::Duration(1000); //!< Microseconds.
//! Limit of an answer that is not streamed.
constexpr auto MAX_BUFFERED_ANSWER_BYTES = std::size_t(32 * 1024 * 1024);
//! Answers up to this size take nothing of the common limit, so that they have room beside large
//! ones.
constexpr auto SMALL_ANSWER_BYTES = std::size_t(64 * 1024);
constexpr auto MILLISECONDS_PER_SECOND = 1000U;

auto parseNumber(const std::string &text) -> std::uint32_t
{
    auto number = std::uint32_t(0);
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

auto retryAfterMilliseconds(const http::Response &head) -> std::uint32_t
{
    const auto milliseconds = parseNumber(http::headerValue(head.headers, "Retry-After-Ms"));
    if (milliseconds > 0)
        return milliseconds;
    return parseNumber(http::headerValue(head.headers, "Retry-After")) * MILLISECONDS_PER_SECOND;
}

} // namespace

auto Attempt::abort(wire::FailureCode code, std::string message) -> void
{
    if (m_abortCode != wire::FAILURE_NONE)
        return;
    m_abortCode = code;
    m_abortMessage = std::move(message);
    if (m_connection != nullptr)
        m_connection->close();
}

auto Attempt::remainingTime() const -> base::Duration
{
    return std::max(MIN_IO_TIMEOUT, m_spec.deadline - m_hooks.now());
}

auto Attempt::ioTimeout() const -> base::Duration
{
    // Other services may compute until the caller's deadline; an engine streams tokens
    // continuously.
    return m_spec.engine ? std::min(remainingTime(), m_spec.progressTime) : remainingTime();
}

auto Attempt::makeFailure(wire::FailureCode code, const absl::Status &status) const
    -> AttemptOutcome
{
    auto outcome = AttemptOutcome();
    outcome.failure = code;
    outcome.ran = m_started ? wire::RAN_UNKNOWN : wire::RAN_NOT_RUN;
    outcome.message = std::string(status.message());
    outcome.step = base::errorPlace(status).step;
    if (m_abortCode != wire::FAILURE_NONE) {
        outcome.failure = m_abortCode;
        outcome.message = m_abortMessage;
    }
    return outcome;
}

auto Attempt::makeConnectionFailure(const absl::Status &status) const -> AttemptOutcome
{
    const auto timedOut = status.code() == absl::StatusCode::kDeadlineExceeded;
    if (timedOut && m_hooks.now() >= m_spec.deadline)
        return makeFailure(wire::FAILURE_DEADLINE, status);
    auto outcome = makeFailure(timedOut ? wire::FAILURE_SILENT : wire::FAILURE_TRUNCATED, status);
    outcome.connectionLost = m_abortCode == wire::FAILURE_NONE;
    return outcome;
}

auto Attempt::run(connection::backend::BackendPool &pool) -> asio::awaitable<AttemptOutcome>
{
    const auto repeatable = m_spec.idempotent ? Repeatable::Yes : Repeatable::No;
    auto connection = co_await pool.acquire(repeatable, m_hooks.now());
    if (!connection.ok()) {
        auto outcome = makeFailure(wire::FAILURE_CONNECT, connection.status());
        outcome.connectionLost = m_abortCode == wire::FAILURE_NONE;
        co_return outcome;
    }
    m_connection = *connection;
    if (m_abortCode != wire::FAILURE_NONE) {
        pool.release(std::move(m_connection), m_hooks.now());
        co_return makeFailure(m_abortCode, absl::OkStatus());
    }
    if (m_hooks.now() >= m_spec.deadline) {
        pool.release(std::move(m_connection), m_hooks.now());
        co_return makeFailure(wire::FAILURE_DEADLINE, absl::DeadlineExceededError("no time left"));
    }
    const auto startedAt = m_hooks.now();
    auto outcome = co_await exchange(*m_connection);
    outcome.serverTime = m_hooks.now() - startedAt;
    pool.release(std::move(m_connection), m_hooks.now());
    co_return outcome;
}

auto Attempt::exchange(http::IHttpConnection &connection) -> asio::awaitable<AttemptOutcome>
{
    const auto startedAt = m_hooks.now();
    auto onFirstByte = std::function<void()>([this] {
        m_started = true;
        m_hooks.onStarted();
    });
    const auto sent = co_await connection.send(m_spec.request, ioTimeout(), onFirstByte);
    if (!sent.ok())
        co_return makeConnectionFailure(sent);
    auto head = co_await connection.readHead(ioTimeout());
    if (!head.ok())
        co_return makeConnectionFailure(head.status());
    const auto bootId = http::headerValue(head->headers, "X-Boot-Id");
    m_hooks.onBootId(bootId);
    if (bootId.empty() && head->status < FIRST_REDIRECTION) {
        // Nobody knows whose success this is.
        connection.close();
        co_return makeFailure(wire::FAILURE_TRUNCATED,
                              base::makeError(absl::StatusCode::kDataLoss,
                                              "the answer does not name its process",
                                              { "attempt.answer", "" }));
    }
    const auto refused = head->status == STATUS_UNAVAILABLE
        && http::headerValue(head->headers, "X-Not-Run") == "true";
    if (!m_spec.engine && !refused)
        m_hooks.onLatency(m_hooks.now() - startedAt);
    auto rest = refused ? readServerRefusal(connection, std::move(*head))
                        : readAnswer(connection, std::move(*head));
    co_return co_await std::move(rest);
}

auto Attempt::readServerRefusal(http::IHttpConnection &connection, http::Response head)
    -> asio::awaitable<AttemptOutcome>
{
    auto outcome = AttemptOutcome();
    outcome.failure = wire::FAILURE_SERVER_REFUSED;
    outcome.ran = wire::RAN_NOT_RUN;
    outcome.message = "the backend server is too busy";
    outcome.step = "attempt.answer";
    outcome.retryAfterMs = retryAfterMilliseconds(head);
    auto part = co_await connection.readBody(ioTimeout());
    while (part.ok() && part->has_value())
        part = co_await connection.readBody(ioTimeout());
    co_return outcome;
}

auto Attempt::readAnswer(http::IHttpConnection &connection, http::Response head)
    -> asio::awaitable<AttemptOutcome>
{
    const auto isEngineAnswer = m_spec.engine && head.status == STATUS_OK;
    auto engineStream = EngineStream(isEngineAnswer ? resumedTokens(m_spec.request.body) : 0);
    auto outcome = AttemptOutcome();
    auto held = process::memory::HeldBytes(m_spec.answerBytes);
    auto lastTokensAt = m_hooks.now();
    while (true) {
        auto part = co_await connection.readBody(ioTimeout());
        if (!part.ok())
            co_return makeConnectionFailure(part.status());
        if (!part->has_value())
            break;
        const auto parseStatus = isEngineAnswer ? engineStream.feed(**part) : absl::OkStatus();
        if (!parseStatus.ok()) {
            connection.close();
            co_return makeFailure(wire::FAILURE_TRUNCATED, parseStatus);
        }
        if (isEngineAnswer && engineStream.lastFeedTokens() > 0) {
            const auto now = m_hooks.now();
            // The time to the first tokens includes prompt processing; only later ones reflect the
            // load.
            if (engineStream.generatedTokens() > engineStream.lastFeedTokens())
                m_hooks.onLatency((now - lastTokensAt) / engineStream.lastFeedTokens());
            lastTokensAt = now;
            m_hooks.onWeightVersion(engineStream.weightVersion());
        }
        if (!m_spec.stream) {
            outcome.body += **part;
            const auto bytes = outcome.body.size();
            const auto hasRoom = bytes <= SMALL_ANSWER_BYTES || held.resize(bytes);
            if (!hasRoom || bytes > MAX_BUFFERED_ANSWER_BYTES) {
                connection.close();
                const auto *problem =
                    hasRoom ? "the answer is too large" : "no room for the answer";
                co_return makeFailure(wire::FAILURE_TRUNCATED,
                                      absl::ResourceExhaustedError(problem));
            }
            continue;
        }
        const auto forwarded = co_await m_hooks.onPart(outcome.partCount, head, std::move(**part));
        if (!forwarded.ok()) {
            connection.close();
            co_return makeFailure(wire::FAILURE_CANCELLED, forwarded);
        }
        ++outcome.partCount;
    }
    const auto complete = isEngineAnswer ? engineStream.finish() : absl::OkStatus();
    if (!complete.ok())
        co_return makeFailure(wire::FAILURE_TRUNCATED, complete);
    outcome.ran = wire::RAN_UNKNOWN;
    outcome.status = head.status;
    outcome.headers = std::move(head.headers);
    outcome.ranges = engineStream.ranges();
    outcome.promptTokens = engineStream.promptTokens();
    outcome.generatedTokens = isEngineAnswer ? engineStream.generatedTokens() : 0;
    co_return outcome;
}

} // namespace nutmegplank::request::attempt
