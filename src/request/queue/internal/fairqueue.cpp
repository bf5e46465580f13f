#include "request/queue/internal/fairqueue.h"

namespace nutmegplank::request::queue {

namespace {

//! Maximum number of requests that one take() examines.
constexpr auto MAX_EXAMINED = std::size_t(256);
//! Maximum number of requests of one workspace that one take() examines, so that a workspace whose
//! requests cannot start does not use up MAX_EXAMINED.
constexpr auto MAX_EXAMINED_PER_WORKSPACE = std::size_t(16);
//! Above this many workspaces in a priority level, the counters of idle ones are dropped.
constexpr auto MAX_SHARES = std::size_t(4096);
//! Cost of a request without an estimate, in the unit of costOf().
constexpr auto DEFAULT_COST = 100.0;

auto expectedCost(const QueueItem &item) -> double
{
    return item.expectedTokens > 0 ? item.expectedTokens : DEFAULT_COST;
}

auto weightOf(const QueueItem &item) -> double
{
    return std::max<std::uint32_t>(1, item.weight);
}

//! Longer rollouts go first, as a training step ends with its longest sample. Requests of the other
//! priorities keep their order of arrival.
auto precedes(const QueueItem &left, const QueueItem &right) -> bool
{
    return left.priority == wire::PRIORITY_ROLLOUT && left.expectedTokens > right.expectedTokens;
}

} // namespace

auto FairQueue::push(QueueItem item) -> bool
{
    if (m_index.size() >= m_capacity || m_index.contains(item.id))
        return false;
    auto &level = m_levels[item.priority];
    const auto share = level.shares.try_emplace(item.workspace).first;
    auto &waiting = share->second.waiting;
    if (waiting.empty())
        raiseCounter(level, share->second);
    auto before = waiting.end();
    while (before != waiting.begin() && precedes(item, *std::prev(before)))
        --before;
    const auto id = item.id;
    const auto priority = item.priority;
    const auto position = waiting.insert(before, std::move(item));
    m_index.emplace(id, Location { priority, share, position });
    return true;
}

auto FairQueue::raiseCounter(Level &level, Share &share) -> void
{
    auto lowestCounter = std::optional<double>();
    for (const auto &[name, other] : level.shares) {
        if (!other.waiting.empty())
            lowestCounter = std::min(lowestCounter.value_or(other.counter), other.counter);
    }
    share.counter = std::max(share.counter, lowestCounter.value_or(level.highestServedCounter));
}

auto FairQueue::take(const CanStart &canStart) -> std::optional<QueueItem>
{
    auto remaining = MAX_EXAMINED;
    for (auto &[priority, level] : m_levels) {
        auto taken = takeFrom(level, canStart, remaining);
        if (taken.has_value())
            return taken;
    }
    return std::nullopt;
}

auto FairQueue::takeFrom(Level &level, const CanStart &canStart, std::size_t &remaining)
    -> std::optional<QueueItem>
{
    auto sortedShares = std::vector<Shares::iterator>();
    for (auto share = level.shares.begin(); share != level.shares.end(); ++share) {
        if (!share->second.waiting.empty())
            sortedShares.push_back(share);
    }
    std::stable_sort(sortedShares.begin(), sortedShares.end(),
                     [](const auto &left, const auto &right) {
                         return left->second.counter < right->second.counter;
                     });
    for (const auto &share : sortedShares) {
        auto remainingOfShare = MAX_EXAMINED_PER_WORKSPACE;
        auto &waiting = share->second.waiting;
        for (auto item = waiting.begin(); item != waiting.end(); ++item) {
            if (remaining == 0 || remainingOfShare == 0)
                break;
            --remaining;
            --remainingOfShare;
            if (canStart(*item))
                return takeAt(level, share, item);
        }
    }
    return std::nullopt;
}

auto FairQueue::takeAt(Level &level, Shares::iterator share, Items::iterator item) -> QueueItem
{
    auto taken = std::move(*item);
    share->second.waiting.erase(item);
    m_index.erase(taken.id);
    level.highestServedCounter = std::max(level.highestServedCounter, share->second.counter);
    share->second.counter += expectedCost(taken) / weightOf(taken);
    dropIdleShares(level);
    return taken;
}

auto FairQueue::dropIdleShares(Level &level) -> void
{
    if (level.shares.size() <= MAX_SHARES)
        return;
    std::erase_if(level.shares, [](const auto &share) { return share.second.waiting.empty(); });
}

auto FairQueue::erase(const Location &location) -> void
{
    location.share->second.waiting.erase(location.item);
}

auto FairQueue::remove(const std::string &id) -> bool
{
    const auto found = m_index.find(id);
    if (found == m_index.end())
        return false;
    erase(found->second);
    m_index.erase(found);
    return true;
}

auto FairQueue::expire(base::TimePoint now) -> std::vector<QueueItem>
{
    auto expired = std::vector<QueueItem>();
    std::erase_if(m_index, [&](const auto &entry) {
        const auto &location = entry.second;
        if (location.item->deadline > now)
            return false;
        expired.push_back(*location.item);
        erase(location);
        return true;
    });
    return expired;
}

auto FairQueue::clear() -> std::vector<QueueItem>
{
    return expire(base::TimePoint::max());
}

auto FairQueue::settle(const QueueItem &item, const Usage &usage) -> void
{
    auto &shares = m_levels[item.priority].shares;
    const auto share = shares.find(item.workspace);
    if (share == shares.end())
        return;
    share->second.counter += (costOf(usage) - expectedCost(item)) / weightOf(item);
}

} // namespace nutmegplank::request::queue
