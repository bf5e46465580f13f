#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "connection/link/link.pb.h"
#include "version/state/iplatformlog.h"

//! From grow-only counters to windows whose figures never change.
namespace nutmegplank::version::usage {

//! What is counted apart.
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

//! Counted amounts.
struct Amount
{
    std::uint64_t requests = 0;
    std::uint64_t promptTokens = 0;
    std::uint64_t generatedTokens = 0;
    std::uint64_t serverMilliseconds = 0;

    auto operator==(const Amount &) const -> bool = default;
};

using Series = std::map<SeriesKey, Amount>;

//! Counters of all processes, merged by the larger value: each only grows, so messages may come
//! twice, late or in any order.
class CounterTable
{
public:
    auto merge(const wire::UsageCounters &counters) -> void;
    auto processes() const -> const std::map<std::string, Series> & { return m_processes; }
    auto collect() const -> std::vector<wire::UsageCounters>;

private:
    std::map<std::string, Series> m_processes;
};

using UsageMarks = std::map<std::string, state::UsageMark>; //!< By process.

//! What goes into the record that closes a window.
struct WindowContent
{
    std::uint64_t number = 0;
    std::int64_t startMs = 0;
    std::int64_t endMs = 0;
    std::vector<state::UsageFigure> figures; //!< Sorted by workspace and service.
    std::vector<state::UsageMark> marks;     //!< Of processes that counted since their last mark.
};

//! Counters minus marks. Usage that is not in \a table yet falls into a later window.
auto closeWindow(const CounterTable &table, const UsageMarks &marks, std::uint64_t number,
                 std::int64_t startMs, std::int64_t endMs) -> WindowContent;

//! The number after the newest window in the log.
auto nextNumber(const state::LogState &state) -> std::uint64_t;

//! Closed windows that are not known to be reported, oldest first.
auto unreported(const state::LogState &state) -> std::vector<state::UsageWindowState>;

} // namespace nutmegplank::version::usage
