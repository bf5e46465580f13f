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

constexpr auto READ_RECORDS = std::uint32_t(512);
constexpr auto READ_BACKOFF = std::chrono::milliseconds(200);
constexpr auto FIRST_BACKOFF = base::Duration(20'000);
constexpr auto LONGEST_BACKOFF = base::Duration(500'000);
constexpr auto APPEND_TRY_TIME = base::Duration(1'000'000);
constexpr auto SHORTEST_TRY_TIME = base::Duration(10'000);
constexpr auto USE_TUPLE = asio::as_tuple(asio::use_awaitable);

//! Whether the same call may succeed later.
auto mayRepeat(const absl::Status &status) -> bool
{
    return status.code() != absl::StatusCode::kInvalidArgument;
}

//! The product's own side of a log: forwards to the shared object and stops it at the end.
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
    , m_reader(m_options.endpoint)
    , m_appender(m_options.endpoint)
    , m_state(m_follower.replay().publish())
{ }

auto PlatformLog::start() -> void
{
    auto self = shared_from_this();
    asio::co_spawn(
        m_strand, [self]() -> asio::awaitable<void> { return self->follow(); }, asio::detached);
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

auto PlatformLog::follow() -> asio::awaitable<void>
{
    const auto self = shared_from_this();
    auto timer = asio::steady_timer(m_strand);
    auto failed = false;
    while (!m_stopped) {
        const auto status = co_await readOnce();
        if (status.ok() != failed)
            ;
        else if (status.ok())
            process::logging::info("log.reachable",
                                   { { "peer", boost::json::value(m_options.endpoint) } });
        else
            process::logging::warning(
                "log.unreachable", { { "problem", boost::json::value(base::describe(status)) } });
        failed = !status.ok();
        if (!failed)
            continue;
        timer.expires_after(READ_BACKOFF);
        co_await timer.async_wait(USE_TUPLE);
    }
}

auto PlatformLog::readOnce() -> asio::awaitable<absl::Status>
{
    // Taken before the request: what the answer says was true at this time or later, however long
    // the answer or this process was held up.
    const auto sent = process::clock::now();
    auto read = co_await m_reader.read(m_follower.position(), READ_RECORDS, m_options.pollTime);
    if (!read.ok())
        co_return read.status();
    if (read->expired) {
        process::logging::warning(
            "log.expired", { { "position", m_follower.position() }, { "first", read->first } });
        if (read->first <= m_follower.position())
            co_return base::makeError(absl::StatusCode::kUnavailable, "expired, but still kept",
                                      { "log.read", m_options.endpoint });
        m_follower.expire(read->first);
        co_return absl::OkStatus();
    }
    takeRead(*std::move(read), sent);
    co_return absl::OkStatus();
}

auto PlatformLog::takeRead(LogRead read, base::TimePoint sent) -> void
{
    const auto whole = read.records.size() < READ_RECORDS;
    const auto followed = m_follower.take(std::move(read.records), read.next);
    if (!followed.empty())
        publish();
    if (whole && !m_follower.recovering())
        m_lastConfirmed = sent;
    for (const auto &record : followed)
        settle(record);
}

auto PlatformLog::publish() -> void
{
    const auto next = m_follower.replay().publish();
    m_state.store(next);
    const auto lock = std::lock_guard(m_handlersMutex);
    for (const auto &handler : m_handlers)
        handler(next);
}

auto PlatformLog::settle(const FollowedRecord &record) -> void
{
    const auto [begin, end] = m_waiters.equal_range(record.id);
    for (auto waiter = begin; waiter != end; ++waiter) {
        if (waiter->second->result)
            continue;
        const auto &applied = record.applied;
        if (applied.status.ok())
            waiter->second->result = applied.offset;
        else
            waiter->second->result =
                base::makeError(applied.status.code(), base::toStd(applied.status.message()),
                                { "log.replay", m_options.endpoint });
        waiter->second->timer.cancel();
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
    auto waiter = std::make_shared<Waiter>(m_strand);
    m_waiters.emplace(recordId, waiter);
    const auto status = co_await repeatUntilRead(waiter, recordId, std::move(body), deadline);
    forget(recordId, waiter);
    if (waiter->result)
        co_return *waiter->result;
    if (!status.ok())
        co_return status;
    co_return base::makeError(absl::StatusCode::kDeadlineExceeded,
                              "not read back in time; the record may count later",
                              { "log.append", m_options.endpoint });
}

auto PlatformLog::repeatUntilRead(WaiterPtr waiter, std::string recordId, boost::json::object body,
                                  base::TimePoint deadline) -> asio::awaitable<absl::Status>
{
    auto taken = false;
    auto backoff = FIRST_BACKOFF;
    while (!waiter->result && !m_stopped) {
        auto left = deadline - process::clock::now();
        if (left.count() <= 0)
            break;
        if (!taken) {
            const auto tryTime = std::clamp(left, SHORTEST_TRY_TIME, APPEND_TRY_TIME);
            const auto offset = co_await m_appender.append(recordId, body, tryTime);
            if (!offset.ok() && !mayRepeat(offset.status()))
                co_return offset.status();
            taken = offset.ok();
        }
        if (waiter->result)
            break;
        left = deadline - process::clock::now();
        if (left.count() <= 0)
            break;
        waiter->timer.expires_after(taken ? left : std::min(left, backoff));
        co_await waiter->timer.async_wait(USE_TUPLE);
        backoff = std::min(backoff * 2, LONGEST_BACKOFF);
    }
    co_return absl::OkStatus();
}

auto PlatformLog::forget(const std::string &recordId, const WaiterPtr &waiter) -> void
{
    const auto [begin, end] = m_waiters.equal_range(recordId);
    for (auto entry = begin; entry != end; ++entry) {
        if (entry->second != waiter)
            continue;
        m_waiters.erase(entry);
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
