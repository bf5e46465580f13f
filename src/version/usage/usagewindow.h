#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "connection/link/link.pb.h"
#include "version/state/iplatformlog.h"

//! Turns grow-only usage counters into windows whose figures never change.
namespace nutmegplank::version::usage {

//! Usage is counted separately for each workspace and service.
struct SeriesKey
{
    std::string workspace;
    std::string service;

    auto operator==(const SeriesKey &other) const -> bool = default;
    auto operator<(const SeriesKey &other) const -> bool
    {
        return workspace != other.workspace ? workspace < other.workspace : service < other.service;
    }
};

struct UsageAmount
{
    std::uint64_t requests = 0;
    std::uint64_t promptTokens = 0;
    std::uint64_t generatedTokens = 0;
    std::uint64_t serverMilliseconds = 0;

    auto operator==(const UsageAmount &) const -> bool = default;
};

using UsageTotals = std::map<SeriesKey, UsageAmount>;

//! Counters of all processes. Merging keeps the larger value of each counter: counters only grow,
//! so duplicate, late or reordered messages do no harm.
class CounterTable
{
public:
    auto merge(const wire::UsageCounters &counters) -> void;
    auto processes() const -> const std::map<std::string, UsageTotals> & { return m_processes; }
    //! The counters of all processes, as messages for another controller.
    auto collect() const -> std::vector<wire::UsageCounters>;

private:
    std::map<std::string, UsageTotals> m_processes;
};

//! Counter values up to which usage is included in closed windows, by process.
using UsageMarks = std::map<std::string, state::UsageMark>;

//! Content of the log record that closes a window. Times are wall clock, in milliseconds.
struct WindowContent
{
    std::uint64_t number = 0;
    std::int64_t startMs = 0;
    std::int64_t endMs = 0;
    std::vector<state::UsageFigure> figures; //!< Sorted by workspace and service.
    //! New marks of processes with usage since their last mark.
    std::vector<state::UsageMark> marks;
};

//! Computes the window from the increase of the counters since \a marks. Usage that has not reached
//! \a table yet is counted in a later window.
auto closeWindow(const CounterTable &table, const UsageMarks &marks, std::uint64_t number,
                 std::int64_t startMs, std::int64_t endMs) -> WindowContent;

//! The number after that of the newest window in the log; 1 if there is none.
auto nextWindowNumber(const state::LogState &state) -> std::uint64_t;

//! Closed windows that the log doesn't mark as reported, oldest first.
auto unreportedWindows(const state::LogState &state) -> std::vector<state::UsageWindowState>;

} // namespace nutmegplank::version::usage
