#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/timepoint.h"
#include "version/journal/ijournal.h"
#include "version/records/records.pb.h"

//! Usage per time window, based on true time. Counts are stored in the log, so that they survive
//! the process that made them.
namespace nutmegplank::version::metering {

using Counts = std::map<std::string, std::uint64_t>; //!< Number of requests by workspace.

//! Counts requests of this process and provides the records to be appended to the log.
class LocalMeter
{
public:
    LocalMeter(std::string process, base::Duration window)
        : m_process(std::move(process))
        , m_window(window)
    { }

    //! Counts a request that a backend server started to run at \a trueMs, in milliseconds of true
    //! time.
    auto count(const std::string &workspace, std::int64_t trueMs) -> void;
    //! Records of all windows that changed since the last call.
    auto takeChangedRecords() -> std::vector<record::MeterRecord>;
    //! Marks the windows of \a records as changed again after their append failed.
    auto markChanged(const std::vector<record::MeterRecord> &records) -> void;
    auto windowOf(std::int64_t trueMs) const -> std::uint64_t;
    auto windowEndMs(std::uint64_t window) const -> std::int64_t;
    //! Time from \a trueMs until changed counts should next be appended to the log. The log may
    //! become unavailable a few seconds after the end of a window. Remaining changes are therefore
    //! written right after the end, by each process at a different time, so that the window can be
    //! closed soon.
    auto untilNextRecord(std::int64_t trueMs) const -> base::Duration;

private:
    struct Entry
    {
        Counts counts;
        bool changed = false;
    };

    std::string m_process;
    base::Duration m_window;
    std::map<std::uint64_t, Entry> m_windows;
};

//! A window with its final counts.
struct ClosedWindow
{
    std::uint64_t window = 0;
    Counts counts;
};

//! Counts of all processes and closed windows, built by replaying the log. The first closing record
//! of a window is final; later ones are ignored.
class MeterLog
{
public:
    auto apply(const journal::Record &record) -> void;
    //! Counts of \a window summed over all processes so far.
    auto sum(std::uint64_t window) const -> Counts;
    auto closed(std::uint64_t window) const -> std::optional<ClosedWindow>;
    auto newestClosed() const -> std::optional<std::uint64_t>;
    //! The oldest window with a count of any process.
    auto oldestCounted() const -> std::optional<std::uint64_t>;

private:
    std::map<std::uint64_t, std::map<std::string, Counts>> m_counts; //!< By window and process.
    std::map<std::uint64_t, Counts> m_closed;
};

auto encodeClosedWindow(const ClosedWindow &window) -> std::string;

} // namespace nutmegplank::version::metering
