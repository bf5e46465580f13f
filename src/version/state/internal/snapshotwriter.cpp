#include "version/state/snapshotwriter.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include "base/hash.h"
#include "base/status.h"
#include "base/text.h"
#include "process/clock/clock.h"
#include "process/logging/logging.h"
#include "version/state/internal/snapshotassembler.h"

namespace nutmegplank::version::state {

namespace {

namespace asio = boost::asio;

//! JSON may escape every character, which makes a record at most twice as long.
constexpr auto MAX_PART_BYTES = std::size_t(15 * 1024);
constexpr auto APPEND_TIMEOUT = std::chrono::seconds(5);

class SnapshotWriter : public std::enable_shared_from_this<SnapshotWriter>
{
public:
    SnapshotWriter(asio::io_context &context, IPlatformLog &log, lease::ILease &lease,
                   SnapshotWriterOptions options)
        : m_strand(asio::make_strand(context))
        , m_log(log)
        , m_lease(lease)
        , m_options(options)
    { }

    auto run() -> asio::awaitable<void>
    {
        const auto self = shared_from_this();
        auto timer = asio::steady_timer(m_strand);
        while (!m_stopped) {
            const auto now = process::clock::now();
            if (m_lease.fencingNumber(now)
                && m_schedule.isDue(m_options, m_log.state()->nextOffset, now))
                co_await writeSnapshot();
            if (m_stopped)
                break;
            timer.expires_after(m_options.checkInterval);
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        }
    }

    auto strand() const { return m_strand; }
    auto stop() -> void { m_stopped = true; }
    auto snapshotsWritten() const -> std::uint64_t { return m_snapshotsWritten; }

private:
    auto writeSnapshot() -> asio::awaitable<void>
    {
        const auto serialized = co_await m_log.serializedState();
        if (serialized.nextOffset == 0)
            co_return;
        const auto id = base::randomId();
        const auto parts = splitSnapshot(serialized.text, MAX_PART_BYTES);
        for (auto index = std::size_t(0); index < parts.size(); ++index) {
            if (m_stopped || !m_lease.fencingNumber(process::clock::now()))
                co_return;
            auto body = boost::json::object { { "snapshot_id", id },
                                              { "index", index },
                                              { "count", parts.size() },
                                              { "at_offset", serialized.nextOffset },
                                              { "part", parts[index] } };
            auto recordId = base::concat("snapshot/", id, "/", index);
            const auto status = co_await m_log.append(
                RecordKind::SnapshotChunk, std::move(recordId), std::move(body), APPEND_TIMEOUT);
            if (!status.ok()) {
                process::logging::warning(
                    "snapshot.failed",
                    { { "problem", boost::json::value(base::describe(status.status())) } });
                co_return;
            }
        }
        m_schedule.lastOffset = m_log.state()->nextOffset;
        m_schedule.lastTime = process::clock::now();
        ++m_snapshotsWritten;
        process::logging::info("snapshot.written",
                               { { "at_offset", serialized.nextOffset },
                                 { "bytes", serialized.text.size() },
                                 { "chunks", parts.size() } });
    }

    asio::strand<asio::io_context::executor_type> m_strand;
    IPlatformLog &m_log;
    lease::ILease &m_lease;
    SnapshotWriterOptions m_options;
    SnapshotSchedule m_schedule;
    std::atomic<bool> m_stopped { false };
    std::atomic<std::uint64_t> m_snapshotsWritten { 0 };
};

class SnapshotWriterHandle : public ISnapshotWriter
{
public:
    explicit SnapshotWriterHandle(std::shared_ptr<SnapshotWriter> writer)
        : m_writer(std::move(writer))
    { }
    ~SnapshotWriterHandle() override { m_writer->stop(); }
    auto snapshotsWritten() const -> std::uint64_t override { return m_writer->snapshotsWritten(); }

private:
    std::shared_ptr<SnapshotWriter> m_writer;
};

} // namespace

auto SnapshotSchedule::isDue(const SnapshotWriterOptions &options, std::uint64_t nextOffset,
                             base::TimePoint now) const -> bool
{
    if (nextOffset <= lastOffset)
        return false;
    return nextOffset - lastOffset >= options.maxRecordsBetweenSnapshots
        || now - lastTime >= options.maxInterval;
}

auto makeSnapshotWriter(asio::io_context &context, IPlatformLog &log, lease::ILease &lease,
                        SnapshotWriterOptions options) -> std::unique_ptr<ISnapshotWriter>
{
    auto writer = std::make_shared<SnapshotWriter>(context, log, lease, options);
    asio::co_spawn(writer->strand(), writer->run(), asio::detached);
    return std::make_unique<SnapshotWriterHandle>(std::move(writer));
}

} // namespace nutmegplank::version::state
