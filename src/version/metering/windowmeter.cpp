#include "version/metering/windowmeter.h"

#include "base/hash.h"
#include "process/logging/logging.h"

namespace nutmegplank::version::metering {

namespace {

//! Number of windows kept in memory. Reports are due two windows after a window's end.
constexpr auto MAX_WINDOWS = std::size_t(40);
constexpr auto RECORD_INTERVAL_MS = std::int64_t(1000);
//! Delay after a window's end: by then, every request that started in the window has been
//! counted. The appends of all processes are spread over the additional time.
constexpr auto WINDOW_END_DELAY_MS = std::int64_t(60);
constexpr auto WINDOW_END_SPREAD_MS = std::uint64_t(250);

template <typename Messages>
auto toCounts(const Messages &messages) -> Counts
{
    auto counts = Counts();
    for (const auto &message : messages)
        counts[message.workspace()] = message.requests();
    return counts;
}

template <typename Message>
auto addCounts(const Counts &counts, Message &message) -> void
{
    for (const auto &[workspace, requests] : counts) {
        auto &count = *message.add_counts();
        count.set_workspace(workspace);
        count.set_requests(requests);
    }
}

} // namespace

auto LocalMeter::windowOf(std::int64_t trueMs) const -> std::uint64_t
{
    return static_cast<std::uint64_t>(trueMs / base::toMilliseconds(m_window));
}

auto LocalMeter::windowEndMs(std::uint64_t window) const -> std::int64_t
{
    return static_cast<std::int64_t>(window + 1) * base::toMilliseconds(m_window);
}

auto LocalMeter::untilNextRecord(std::int64_t trueMs) const -> base::Duration
{
    const auto delayMs = WINDOW_END_DELAY_MS
        + static_cast<std::int64_t>(base::hash64(m_process) % WINDOW_END_SPREAD_MS);
    // The oldest window whose final record is still to be written.
    const auto endMs = windowEndMs(windowOf(trueMs - delayMs));
    return std::chrono::milliseconds(std::min(RECORD_INTERVAL_MS, endMs + delayMs - trueMs));
}

auto LocalMeter::count(const std::string &workspace, std::int64_t trueMs) -> void
{
    auto &entry = m_windows[windowOf(trueMs)];
    ++entry.counts[workspace];
    entry.changed = true;
    while (m_windows.size() > MAX_WINDOWS)
        m_windows.erase(m_windows.begin());
}

auto LocalMeter::takeChangedRecords() -> std::vector<record::MeterRecord>
{
    auto records = std::vector<record::MeterRecord>();
    for (auto &[window, entry] : m_windows) {
        if (!std::exchange(entry.changed, false))
            continue;
        auto &message = *records.emplace_back().mutable_counts();
        message.set_process(m_process);
        message.set_window(window);
        addCounts(entry.counts, message);
    }
    return records;
}

auto LocalMeter::markChanged(const std::vector<record::MeterRecord> &records) -> void
{
    for (const auto &record : records) {
        const auto found = m_windows.find(record.counts().window());
        if (found != m_windows.end())
            found->second.changed = true;
    }
}

auto MeterLog::apply(const journal::Record &record) -> void
{
    auto message = record::MeterRecord();
    if (!message.ParseFromString(record.data)) {
        process::logging::error("meter.malformed_record", { { "offset", record.offset } });
        return;
    }
    if (message.has_counts()) {
        const auto &counts = message.counts();
        auto &processCounts = m_counts[counts.window()][counts.process()];
        // Records may arrive late and out of order, so a count never decreases.
        for (const auto &[workspace, requests] : toCounts(counts.counts()))
            processCounts[workspace] = std::max(processCounts[workspace], requests);
    } else if (message.has_closed()) {
        m_closed.try_emplace(message.closed().window(), toCounts(message.closed().counts()));
    }
    while (m_counts.size() > MAX_WINDOWS)
        m_counts.erase(m_counts.begin());
    while (m_closed.size() > MAX_WINDOWS)
        m_closed.erase(m_closed.begin());
}

auto MeterLog::sum(std::uint64_t window) const -> Counts
{
    auto total = Counts();
    const auto found = m_counts.find(window);
    if (found == m_counts.end())
        return total;
    for (const auto &[process, counts] : found->second) {
        for (const auto &[workspace, requests] : counts)
            total[workspace] += requests;
    }
    return total;
}

auto MeterLog::closed(std::uint64_t window) const -> std::optional<ClosedWindow>
{
    const auto found = m_closed.find(window);
    if (found == m_closed.end())
        return std::nullopt;
    return ClosedWindow { window, found->second };
}

auto MeterLog::newestClosed() const -> std::optional<std::uint64_t>
{
    if (m_closed.empty())
        return std::nullopt;
    return m_closed.rbegin()->first;
}

auto MeterLog::oldestCounted() const -> std::optional<std::uint64_t>
{
    if (m_counts.empty())
        return std::nullopt;
    return m_counts.begin()->first;
}

auto encodeClosedWindow(const ClosedWindow &window) -> std::string
{
    auto message = record::MeterRecord();
    message.mutable_closed()->set_window(window.window);
    addCounts(window.counts, *message.mutable_closed());
    return message.SerializeAsString();
}

} // namespace nutmegplank::version::metering
