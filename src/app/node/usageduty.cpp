#include "app/node/usageduty.h"

#include <boost/asio.hpp>

#include "app/node/partitions.h"
#include "process/clock/clock.h"
#include "process/clock/pause.h"
#include "process/logging/logging.h"
#include "process/logging/taskfailure.h"

namespace nutmegplank::app::node {

namespace {

namespace asio = boost::asio;
namespace journal = version::journal;
namespace logging = process::logging;
using process::capacity::DutyOutcome;
using process::clock::pauseFor;

constexpr auto METER_READ = std::chrono::milliseconds(700);
constexpr auto APPEND_TIME = std::chrono::milliseconds(900);
//! A window is closed this long after its end: all machines have written their counts by then, also
//! after one append without an answer. Each second more is one in which an outage of the log makes
//! the report late.
constexpr auto CLOSE_AFTER = std::chrono::milliseconds(2100);
constexpr auto DUTY_CHECK = std::chrono::milliseconds(400);
constexpr auto READ_BACK_TIME = std::chrono::milliseconds(500);
//! An append and a read take some milliseconds each.
constexpr auto READ_BACK_CHECK = std::chrono::milliseconds(20);
//! Windows that ended longer ago are not reported any more.
constexpr auto REPORT_WITHIN = std::chrono::seconds(20);

} // namespace

UsageDuty::UsageDuty(UsageDutyParts parts)
    : m_parts(std::move(parts))
    , m_local(m_parts.process, m_parts.window)
    , m_follower(
          m_parts.context, m_parts.journal,
          { partitionFor(PartitionUse::Meter), base::Duration(0), METER_READ },
          { [this](const journal::Record &record, base::TimePoint) { m_log.apply(record); }, {} })
    , m_windows(
          m_parts.metrics.counter("nutmegplank_usage_windows_total", "Usage windows reported."))
{ }

auto UsageDuty::start() -> void
{
    m_follower.start();
    asio::co_spawn(m_parts.context, countLoop(), logging::LogTaskFailure("usage.count"));
    asio::co_spawn(m_parts.context, dutyLoop(), logging::LogTaskFailure("usage.duty"));
}

auto UsageDuty::countRun(const std::string &workspace) -> void
{
    if (workspace.empty())
        return;
    m_local.count(workspace, m_parts.trueTime.milliseconds(process::clock::now()));
}

auto UsageDuty::countLoop() -> asio::awaitable<void>
{
    while (true) {
        const auto trueMs = m_parts.trueTime.milliseconds(process::clock::now());
        co_await pauseFor(m_local.untilNextRecord(trueMs));
        const auto changed = m_local.takeChangedRecords();
        if (changed.empty())
            continue;
        auto records = std::vector<std::string>();
        for (const auto &record : changed)
            records.push_back(record.SerializeAsString());
        const auto result = co_await m_parts.journal.appendUnconditionally(
            partitionFor(PartitionUse::Meter), std::move(records), APPEND_TIME);
        if (result.outcome == journal::AppendOutcome::Rejected)
            co_await recordOneByOne(changed);
        else if (result.outcome != journal::AppendOutcome::Done)
            m_local.markChanged(changed);
    }
}

//! A record that the log rejects holds up no other.
auto UsageDuty::recordOneByOne(std::vector<record::MeterRecord> records) -> asio::awaitable<void>
{
    for (const auto &record : records) {
        auto single = std::vector<std::string> { record.SerializeAsString() };
        const auto result = co_await m_parts.journal.appendUnconditionally(
            partitionFor(PartitionUse::Meter), std::move(single), APPEND_TIME);
        if (result.outcome == journal::AppendOutcome::Rejected)
            logging::error("usage.record_rejected",
                           { { "bytes", record.ByteSizeLong() }, { "detail", result.detail } });
        else if (result.outcome != journal::AppendOutcome::Done)
            m_local.markChanged({ record });
    }
}

auto UsageDuty::dutyLoop() -> asio::awaitable<void>
{
    while (true) {
        co_await pauseFor(DUTY_CHECK);
        const auto fence = m_parts.fence(process::clock::now());
        if (!fence.has_value() || !m_follower.caughtUp())
            continue;
        const auto closedUntil = co_await closeWindows(*fence);
        co_await waitForPosition(closedUntil);
        co_await reportWindows();
    }
}

//! Returns the log's end after the last record written; 0 if none was.
auto UsageDuty::closeWindows(std::uint64_t fence) -> asio::awaitable<std::uint64_t>
{
    auto end = std::uint64_t(0);
    const auto trueMs = m_parts.trueTime.milliseconds(process::clock::now());
    const auto current = m_local.windowOf(trueMs);
    const auto newest = m_log.newestClosed();
    auto next = newest.has_value() ? *newest + 1
                                   : std::min(current, m_log.oldestCounted().value_or(current));
    for (; m_local.windowEndMs(next) + base::toMilliseconds(CLOSE_AFTER) <= trueMs; ++next) {
        auto records = std::vector<std::string> { version::metering::encodeClosedWindow(
            { next, m_log.sum(next) }) };
        const auto result = co_await m_parts.journal.appendUnconditionally(
            partitionFor(PartitionUse::Meter), std::move(records), APPEND_TIME);
        logging::info(
            "usage.window_closed",
            { { "window", next },
              { "fence", fence },
              { "outcome", base::nameOf(journal::APPEND_OUTCOME_NAMES, result.outcome) } });
        // The windows that follow must not wait for one that the log rejects.
        if (result.outcome == journal::AppendOutcome::Rejected)
            continue;
        if (result.outcome != journal::AppendOutcome::Done)
            break;
        end = result.offset + 1;
    }
    co_return end;
}

//! A closed window is reported only once it has been read back, since the first record of it
//! counts. After an outage of the log the report may be due within a second.
auto UsageDuty::waitForPosition(std::uint64_t offset) -> asio::awaitable<void>
{
    const auto until = process::clock::now() + READ_BACK_TIME;
    while (m_follower.position() < offset && process::clock::now() < until) {
        m_follower.readNow();
        co_await pauseFor(READ_BACK_CHECK);
    }
}

auto UsageDuty::reportWindows() -> asio::awaitable<void>
{
    const auto trueMs = m_parts.trueTime.milliseconds(process::clock::now());
    const auto newest = m_log.newestClosed();
    if (!newest.has_value())
        co_return;
    const auto oldest =
        m_local.windowOf(trueMs - base::toMilliseconds(base::Duration(REPORT_WITHIN)));
    for (auto window = oldest; window <= *newest; ++window) {
        const auto closed = m_log.closed(window);
        const auto fence = m_parts.fence(process::clock::now());
        if (!closed.has_value() || !fence.has_value() || m_reported.contains(window))
            continue;
        const auto outcome = co_await report(*closed, *fence);
        if (outcome != DutyOutcome::Accepted)
            co_return;
    }
}

auto UsageDuty::report(const version::metering::ClosedWindow &window, std::uint64_t fence)
    -> asio::awaitable<DutyOutcome>
{
    const auto outcome = co_await m_parts.duties.reportUsage(window, fence);
    auto total = std::uint64_t(0);
    for (const auto &[workspace, requests] : window.counts)
        total += requests;
    logging::info("usage.reported",
                  { { "window", window.window },
                    { "fence", fence },
                    { "requests", total },
                    { "outcome", base::nameOf(process::capacity::DUTY_OUTCOME_NAMES, outcome) } });
    if (outcome == DutyOutcome::Accepted || outcome == DutyOutcome::Rejected) {
        m_reported.insert(window.window);
        m_windows.add();
    }
    if (outcome == DutyOutcome::Conflict)
        m_parts.onRefused(fence);
    co_return outcome;
}

} // namespace nutmegplank::app::node
