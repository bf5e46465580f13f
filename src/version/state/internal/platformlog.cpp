#include "version/state/internal/platformlog.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include "base/status.h"
#include "base/text.h"
#include "process/clock/clock.h"
#include "process/logging/logging.h"
#include "version/state/records.h"

namespace nutmegplank::version::state {

namespace {

namespace asio = boost::asio;

constexpr auto MAX_RECORDS_PER_READ = std::uint32_t(512);
constexpr auto READ_RETRY_DELAY = std::chrono::milliseconds(200);
constexpr auto INITIAL_APPEND_BACKOFF = base::Duration(20'000);
constexpr auto MAX_APPEND_BACKOFF = base::Duration(500'000);
constexpr auto MAX_APPEND_ATTEMPT_TIMEOUT = base::Duration(1'000'000);
constexpr auto MIN_APPEND_ATTEMPT_TIMEOUT = base::Duration(10'000);
constexpr auto USE_AWAITABLE_TUPLE = asio::as_tuple(asio::use_awaitable);

//! Whether the same call may succeed later.
auto isRetryable(const absl::Status &status) -> bool
{
    return status.code() != absl::StatusCode::kInvalidArgument;
}

//! Owned by the caller: forwards to the shared PlatformLog and stops it on destruction.
class PlatformLogHandle : public IPlatformLog
{
public:
    explicit PlatformLogHandle(std::shared_ptr<PlatformLog> log)
        : m_log(std::move(log))
    { }
    ~PlatformLogHandle() override { m_log->stop(); }

    auto state() const -> LogStatePtr override { return m_log->state(); }
    auto lastConfirmed() const -> base::TimePoint override { return m_log->lastConfirmed(); }
    auto append(RecordKind kind, std::string recordId, boost::json::object body,
                base::Duration timeout) -> asio::awaitable<absl::StatusOr<std::uint64_t>> override
    {
        return m_log->append(kind, std::move(recordId), std::move(body), timeout);
    }
    auto onChange(std::function<void(LogStatePtr)> handler) -> void override
    {
        m_log->onChange(std::move(handler));
    }
    auto serializedState() -> asio::awaitable<SerializedState> override
    {
        return m_log->serializedState();
    }

private:
    std::shared_ptr<PlatformLog> m_log;
};

} // namespace

PlatformLog::PlatformLog(asio::io_context &context, PlatformLogOptions options)
    : m_strand(asio::make_strand(context))
    , m_options(std::move(options))
    , m_readTimer(m_strand)
    , m_reader(m_options.endpoint)
    , m_appender(m_options.endpoint)
    , m_state(m_follower.replay().copyState())
{ }

auto PlatformLog::start() -> void
{
    auto self = shared_from_this();
    asio::co_spawn(
        m_strand, [self]() -> asio::awaitable<void> { return self->runReadLoop(); },
        asio::detached);
}

auto PlatformLog::stop() -> void
{
    m_stopped = true;
    const auto lock = std::lock_guard(m_handlersMutex);
    m_handlers.clear();
}

auto PlatformLog::onChange(std::function<void(LogStatePtr)> handler) -> void
{
    const auto lock = std::lock_guard(m_handlersMutex);
    m_handlers.push_back(std::move(handler));
}

auto PlatformLog::runReadLoop() -> asio::awaitable<void>
{
    const auto self = shared_from_this();
    auto reachable = true;
    while (!m_stopped) {
        const auto read = co_await readOnce();
        if (reachable && !read.ok())
            process::logging::warning(
                "log.unreachable",
                { { "problem", boost::json::value(base::describe(read.status())) } });
        if (!reachable && read.ok())
            process::logging::info("log.reachable",
                                   { { "peer", boost::json::value(m_options.endpoint) } });
        reachable = read.ok();
        if (!reachable)
            co_await waitBetweenReads(READ_RETRY_DELAY);
        else if (*read && m_pendingAppends.empty())
            co_await waitBetweenReads(m_options.readDelay);
    }
}

auto PlatformLog::waitBetweenReads(base::Duration time) -> asio::awaitable<void>
{
    m_readTimer.expires_after(time);
    co_await m_readTimer.async_wait(USE_AWAITABLE_TUPLE);
}

auto PlatformLog::readOnce() -> asio::awaitable<absl::StatusOr<bool>>
{
    // Taken before the request: the response reflects the log at this time or later, however long
    // the response or this process was delayed.
    const auto sent = process::clock::now();
    auto read =
        co_await m_reader.read(m_follower.position(), MAX_RECORDS_PER_READ, m_options.pollTime);
    if (!read.ok())
        co_return read.status();
    if (read->expired) {
        process::logging::warning(
            "log.expired", { { "position", m_follower.position() }, { "first", read->first } });
        if (read->first <= m_follower.position())
            co_return base::makeError(absl::StatusCode::kUnavailable, "expired, but still kept",
                                      { "log.read", m_options.endpoint });
        m_follower.startRecovery(read->first);
        co_return false;
    }
    // A full read means that more records follow; they are read without a delay.
    const auto maySlowDown = !read->records.empty() && read->records.size() < MAX_RECORDS_PER_READ;
    applyRead(*std::move(read), sent);
    co_return maySlowDown;
}

auto PlatformLog::applyRead(LogRead read, base::TimePoint sent) -> void
{
    const auto reachedEnd = read.records.size() < MAX_RECORDS_PER_READ;
    const auto appliedRecords = m_follower.processRecords(std::move(read.records), read.next);
    if (!appliedRecords.empty())
        publishState();
    if (reachedEnd && !m_follower.recovering())
        m_lastConfirmed = sent;
    for (const auto &record : appliedRecords)
        completeAppends(record);
}

auto PlatformLog::publishState() -> void
{
    const auto next = m_follower.replay().copyState();
    m_state.store(next);
    const auto lock = std::lock_guard(m_handlersMutex);
    for (const auto &handler : m_handlers)
        handler(next);
}

auto PlatformLog::completeAppends(const AppliedRecord &record) -> void
{
    const auto [begin, end] = m_pendingAppends.equal_range(record.id);
    for (auto pendingAppend = begin; pendingAppend != end; ++pendingAppend) {
        if (pendingAppend->second->result)
            continue;
        const auto &outcome = record.outcome;
        if (outcome.status.ok())
            pendingAppend->second->result = outcome.offset;
        else
            pendingAppend->second->result =
                base::makeError(outcome.status.code(), base::toStd(outcome.status.message()),
                                { "log.replay", m_options.endpoint });
        pendingAppend->second->timer.cancel();
    }
}

auto PlatformLog::append(RecordKind kind, std::string recordId, boost::json::object body,
                         base::Duration timeout) -> asio::awaitable<absl::StatusOr<std::uint64_t>>
{
    const auto self = shared_from_this();
    body["kind"] = base::nameOf(RECORD_KIND_NAMES, kind);
    body["member"] = m_options.member;
    body["wall_ms"] = process::clock::wallMilliseconds();
    auto task = appendOnStrand(std::move(recordId), std::move(body), timeout);
    co_return co_await asio::co_spawn(m_strand, std::move(task), asio::use_awaitable);
}

auto PlatformLog::appendOnStrand(std::string recordId, boost::json::object body,
                                 base::Duration timeout)
    -> asio::awaitable<absl::StatusOr<std::uint64_t>>
{
    const auto self = shared_from_this();
    const auto deadline = process::clock::now() + timeout;
    auto pendingAppend = std::make_shared<PendingAppend>(m_strand);
    m_pendingAppends.emplace(recordId, pendingAppend);
    m_readTimer.cancel();
    const auto status =
        co_await retryUntilReadBack(pendingAppend, recordId, std::move(body), deadline);
    removePendingAppend(recordId, pendingAppend);
    if (pendingAppend->result)
        co_return *pendingAppend->result;
    if (!status.ok())
        co_return status;
    co_return base::makeError(absl::StatusCode::kDeadlineExceeded,
                              "not read back in time; the record may count later",
                              { "log.append", m_options.endpoint });
}

auto PlatformLog::retryUntilReadBack(PendingAppendPtr pendingAppend, std::string recordId,
                                     boost::json::object body, base::TimePoint deadline)
    -> asio::awaitable<absl::Status>
{
    auto stored = false;
    auto backoff = INITIAL_APPEND_BACKOFF;
    while (!pendingAppend->result && !m_stopped) {
        auto remaining = deadline - process::clock::now();
        if (remaining.count() <= 0)
            break;
        if (!stored) {
            const auto attemptTimeout =
                std::clamp(remaining, MIN_APPEND_ATTEMPT_TIMEOUT, MAX_APPEND_ATTEMPT_TIMEOUT);
            const auto offset = co_await m_appender.append(recordId, body, attemptTimeout);
            if (!offset.ok() && !isRetryable(offset.status()))
                co_return offset.status();
            stored = offset.ok();
        }
        if (pendingAppend->result)
            break;
        remaining = deadline - process::clock::now();
        if (remaining.count() <= 0)
            break;
        pendingAppend->timer.expires_after(stored ? remaining : std::min(remaining, backoff));
        co_await pendingAppend->timer.async_wait(USE_AWAITABLE_TUPLE);
        backoff = std::min(backoff * 2, MAX_APPEND_BACKOFF);
    }
    co_return absl::OkStatus();
}

auto PlatformLog::removePendingAppend(const std::string &recordId,
                                      const PendingAppendPtr &pendingAppend) -> void
{
    const auto [begin, end] = m_pendingAppends.equal_range(recordId);
    for (auto entry = begin; entry != end; ++entry) {
        if (entry->second != pendingAppend)
            continue;
        m_pendingAppends.erase(entry);
        return;
    }
}

auto PlatformLog::serializedState() -> asio::awaitable<SerializedState>
{
    const auto self = shared_from_this();
    auto task = [](std::shared_ptr<PlatformLog> log) -> asio::awaitable<SerializedState> {
        auto serialized = SerializedState();
        if (log->m_follower.recovering())
            co_return serialized;
        serialized.nextOffset = log->m_follower.replay().nextOffset();
        serialized.text = log->m_follower.replay().serialize();
        co_return serialized;
    }(self);
    co_return co_await asio::co_spawn(m_strand, std::move(task), asio::use_awaitable);
}

auto makePlatformLog(asio::io_context &context, PlatformLogOptions options)
    -> std::unique_ptr<IPlatformLog>
{
    auto log = std::make_shared<PlatformLog>(context, std::move(options));
    log->start();
    return std::make_unique<PlatformLogHandle>(std::move(log));
}

} // namespace nutmegplank::version::state
