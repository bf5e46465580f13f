#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/timepoint.h"
#include "version/batch/batch.h"
#include "version/journal/ijournal.h"

namespace nutmegplank::version::batch {

//! Results, or progress, of one batch that share a record.
struct ResultGroup
{
    std::string batch;
    std::vector<Result> results;
    std::vector<Progress> progress;

    auto size() const -> std::size_t { return results.size() + progress.size(); }
};

//! Two halves of \a group, which has at least two entries.
auto splitGroup(ResultGroup group) -> std::pair<ResultGroup, ResultGroup>;

//! What waits to be written into the log, in the order in which it came. Not thread-safe.
class ResultQueue
{
public:
    auto add(const std::string &batch, Result result) -> void;
    //! Replaces older progress of the same item. Progress without events says that the text which
    //! was stored before is invalid; it is written before what follows it.
    auto addProgress(const std::string &batch, Progress progress) -> void;
    //! Removes and returns the groups of the next append. Each fits a record, unless a single
    //! entry is larger than one. Results go alone and first: they are waited for, and progress is
    //! not. Suits a load in which results of many batches finish all the time: progress that has
    //! waited behind them for long gets an append of its own, or the next lease holder would begin
    //! its items anew.
    auto take(const journal::AppendLimits &limits, base::TimePoint now) -> std::vector<ResultGroup>;
    auto clear() -> void;
    auto empty() const -> bool { return m_results.empty() && m_progress.empty(); }
    auto bytes() const -> std::size_t { return m_resultBytes + m_progressBytes; }
    auto resultBytes() const -> std::size_t { return m_resultBytes; }
    auto hasProgress() const -> bool { return !m_progress.empty(); }

private:
    struct WaitingProgress
    {
        Progress newest;
        bool discarded = false; //!< The text that was stored before is invalid.
    };

    //! Whether progress goes before the results that wait.
    auto isProgressDue(base::TimePoint now) -> bool;
    auto takeResults(const journal::AppendLimits &limits) -> std::vector<ResultGroup>;
    auto takeProgress(const journal::AppendLimits &limits, std::size_t target)
        -> std::vector<ResultGroup>;

    std::map<std::string, std::deque<Result>> m_results;                        //!< By batch.
    std::map<std::string, std::map<std::uint32_t, WaitingProgress>> m_progress; //!< By batch.
    std::optional<base::TimePoint> m_progressHeldSince;                         //!< Behind results.
    std::size_t m_resultBytes = 0;
    std::size_t m_progressBytes = 0;
};

} // namespace nutmegplank::version::batch
