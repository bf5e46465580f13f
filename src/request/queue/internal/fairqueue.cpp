#include "request/queue/internal/fairqueue.h"

namespace nutmegplank::request::queue {

namespace {

//! Requests that one take() looks at.
constexpr auto MOST_LOOKS = std::size_t(256);
//! Requests of one workspace that one take() looks at, so that a workspace whose requests cannot
//! start does not use up the looks of the others.
constexpr auto MOST_LOOKS_A_SHARE = std::size_t(16);
//! Idle workspaces whose counters are kept.
constexpr auto KEPT_SHARES = std::size_t(4096);
//! Cost of a request of which nothing is known beforehand.
constexpr auto UNKNOWN_COST = 100.0;

auto expectedCost(const QueueItem &item) -> double
{
    return item.expectedTokens > 0 ? item.expectedTokens : UNKNOWN_COST;
}

auto weightOf(const QueueItem &item) -> double
{
    return std::max<std::uint32_t>(1, item.weight);
}

//! Long rollouts first: a step ends with its longest sample. All else by arrival.
auto goesBefore(const QueueItem &left, const QueueItem &right) -> bool
{
    return left.priority == wire::PRIORITY_ROLLOUT && left.expectedTokens > right.expectedTokens;
}

} // namespace

auto FairQueue::push(QueueItem item) -> bool
{
    if (m_index.size() >= m_bound || m_index.contains(item.id))
        return false;
    auto &level = m_levels[item.priority];
    const auto share = level.shares.try_emplace(item.workspace).first;
    auto &waiting = share->second.waiting;
    if (waiting.empty())
        lift(level, share->second);
    auto before = waiting.end();
    while (before != waiting.begin() && goesBefore(item, *std::prev(before)))
        --before;
    const auto id = item.id;
    const auto priority = item.priority;
    const auto placed = waiting.insert(before, std::move(item));
    m_index.emplace(id, Place { priority, share, placed });
    return true;
}

auto FairQueue::lift(Level &level, Share &share) -> void
{
    auto lowest = std::optional<double>();
    for (const auto &[name, other] : level.shares) {
        if (!other.waiting.empty())
            lowest = std::min(lowest.value_or(other.counter), other.counter);
    }
    share.counter = std::max(share.counter, lowest.value_or(level.lastTaken));
}

auto FairQueue::take(const CanStart &canStart) -> std::optional<QueueItem>
{
    auto looks = MOST_LOOKS;
    for (auto &[priority, level] : m_levels) {
        auto taken = takeFrom(level, canStart, looks);
        if (taken.has_value())
            return taken;
    }
    return std::nullopt;
}

auto FairQueue::takeFrom(Level &level, const CanStart &canStart, std::size_t &looks)
    -> std::optional<QueueItem>
{
    auto order = std::vector<Shares::iterator>();
    for (auto share = level.shares.begin(); share != level.shares.end(); ++share) {
        if (!share->second.waiting.empty())
            order.push_back(share);
    }
    std::stable_sort(order.begin(), order.end(), [](const auto &left, const auto &right) {
        return left->second.counter < right->second.counter;
    });
    for (const auto &share : order) {
        auto looksHere = MOST_LOOKS_A_SHARE;
        auto &waiting = share->second.waiting;
        for (auto item = waiting.begin(); item != waiting.end(); ++item) {
            if (looks == 0 || looksHere == 0)
                break;
            --looks;
            --looksHere;
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
    level.lastTaken = std::max(level.lastTaken, share->second.counter);
    share->second.counter += expectedCost(taken) / weightOf(taken);
    dropIdleShares(level);
    return taken;
}

auto FairQueue::dropIdleShares(Level &level) -> void
{
    if (level.shares.size() <= KEPT_SHARES)
        return;
    std::erase_if(level.shares, [](const auto &share) { return share.second.waiting.empty(); });
}

auto FairQueue::erase(const Place &place) -> void
{
    place.share->second.waiting.erase(place.item);
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
        const auto &place = entry.second;
        if (place.item->deadline > now)
            return false;
        expired.push_back(*place.item);
        erase(place);
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
