#include "version/batch/resultqueue.h"

#include <algorithm>
#include <iterator>

#include "version/batch/recordsize.h"

namespace nutmegplank::version::batch {

namespace {

//! Records and calls are kept below these, which keeps their writing and reading short.
constexpr auto RECORD_TARGET_BYTES = std::size_t(150'000);
constexpr auto CALL_TARGET_BYTES = std::size_t(1'200'000);
//! Of progress that goes before results, which wait meanwhile.
constexpr auto SHARED_TARGET_BYTES = std::size_t(600'000);
//! Texts are stored each 0.8 s; a lost holder should not cost much more of them.
constexpr auto MAX_PROGRESS_WAIT = std::chrono::milliseconds(300);

//! Whether an entry of \a bytes goes into a record that has \a used; a first one always does.
auto fitsRecord(const ResultGroup &group, std::size_t used, std::size_t bytes,
                const journal::AppendLimits &limits) -> bool
{
    return group.size() == 0 || used + bytes <= std::min(RECORD_TARGET_BYTES, limits.recordBytes);
}

auto callTarget(const journal::AppendLimits &limits) -> std::size_t
{
    return std::min(CALL_TARGET_BYTES, limits.callBytes / 2);
}

auto discardMark(std::uint32_t item) -> Progress
{
    auto mark = Progress();
    mark.item = item;
    return mark;
}

} // namespace

auto splitGroup(ResultGroup group) -> std::pair<ResultGroup, ResultGroup>
{
    auto second = ResultGroup { group.batch, {}, {} };
    const auto halve = [](auto &entries, auto &rest) {
        const auto middle = entries.begin() + static_cast<std::ptrdiff_t>(entries.size() / 2);
        rest.assign(std::make_move_iterator(middle), std::make_move_iterator(entries.end()));
        entries.erase(middle, entries.end());
    };
    halve(group.results, second.results);
    halve(group.progress, second.progress);
    return { std::move(group), std::move(second) };
}

auto ResultQueue::add(const std::string &batch, Result result) -> void
{
    m_resultBytes += storedBytes(result);
    m_results[batch].push_back(std::move(result));
}

auto ResultQueue::addProgress(const std::string &batch, Progress progress) -> void
{
    auto &items = m_progress[batch];
    const auto found = items.find(progress.item);
    auto discarded = progress.events == 0;
    if (found != items.end()) {
        m_progressBytes -= storedBytes(found->second.newest);
        discarded = discarded || found->second.discarded;
    }
    m_progressBytes += storedBytes(progress);
    const auto item = progress.item;
    items[item] = { std::move(progress), discarded };
}

auto ResultQueue::isProgressDue(base::TimePoint now) -> bool
{
    if (m_progress.empty())
        return false;
    if (!m_progressHeldSince.has_value())
        m_progressHeldSince = now;
    return m_results.empty() || now - *m_progressHeldSince >= MAX_PROGRESS_WAIT;
}

auto ResultQueue::take(const journal::AppendLimits &limits, base::TimePoint now)
    -> std::vector<ResultGroup>
{
    if (!isProgressDue(now))
        return takeResults(limits);
    m_progressHeldSince.reset();
    const auto target = callTarget(limits);
    return takeProgress(limits, m_results.empty() ? target : std::min(target, SHARED_TARGET_BYTES));
}

auto ResultQueue::takeResults(const journal::AppendLimits &limits) -> std::vector<ResultGroup>
{
    auto groups = std::vector<ResultGroup>();
    auto callBytes = std::size_t(0);
    while (!m_results.empty() && callBytes < callTarget(limits)) {
        auto &[batch, results] = *m_results.begin();
        auto group = ResultGroup { batch, {}, {} };
        auto used = storedBytes(batch);
        while (!results.empty() && fitsRecord(group, used, storedBytes(results.front()), limits)) {
            const auto bytes = storedBytes(results.front());
            used += bytes;
            m_resultBytes -= bytes;
            group.results.push_back(std::move(results.front()));
            results.pop_front();
        }
        callBytes += used;
        groups.push_back(std::move(group));
        if (results.empty())
            m_results.erase(m_results.begin());
    }
    return groups;
}

auto ResultQueue::takeProgress(const journal::AppendLimits &limits, std::size_t target)
    -> std::vector<ResultGroup>
{
    auto groups = std::vector<ResultGroup>();
    auto callBytes = std::size_t(0);
    while (!m_progress.empty() && callBytes < target) {
        auto &[batch, items] = *m_progress.begin();
        auto group = ResultGroup { batch, {}, {} };
        auto used = storedBytes(batch);
        while (!items.empty()) {
            auto &[item, waiting] = *items.begin();
            const auto bytes = storedBytes(waiting.newest);
            const auto mark = discardMark(item);
            // A mark is small and must not end the record that it shares with its successor.
            const auto all = bytes + (waiting.discarded ? storedBytes(mark) : 0);
            if (!fitsRecord(group, used, all, limits))
                break;
            used += all;
            m_progressBytes -= bytes;
            if (waiting.discarded && waiting.newest.events > 0)
                group.progress.push_back(mark);
            group.progress.push_back(std::move(waiting.newest));
            items.erase(items.begin());
        }
        callBytes += used;
        groups.push_back(std::move(group));
        if (items.empty())
            m_progress.erase(m_progress.begin());
    }
    return groups;
}

auto ResultQueue::clear() -> void
{
    m_results.clear();
    m_progress.clear();
    m_progressHeldSince.reset();
    m_resultBytes = 0;
    m_progressBytes = 0;
}

} // namespace nutmegplank::version::batch
