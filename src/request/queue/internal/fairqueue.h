#pragma once

#include <list>

#include "request/queue/iqueue.h"

namespace nutmegplank::request::queue {

//! Strict priorities; within a priority, the workspace with the lowest virtual counter is served
//! first. The counters follow the Virtual Token Counter of Sheng et al., "Fairness in Serving Large
//! Language Models" (OSDI 2024): they grow by cost divided by weight and are corrected once the
//! actual cost is known. The counter of a workspace that was idle is raised to the lowest counter
//! of the waiting ones, or to highestServedCounter if none wait, so that a workspace gains no
//! credit while idle.
class FairQueue : public IQueue
{
public:
    explicit FairQueue(std::size_t capacity)
        : m_capacity(capacity)
    { }

    auto push(QueueItem item) -> bool override;
    auto take(const CanStart &canStart) -> std::optional<QueueItem> override;
    auto remove(const std::string &id) -> bool override;
    auto expire(base::TimePoint now) -> std::vector<QueueItem> override;
    auto clear() -> std::vector<QueueItem> override;
    auto settle(const QueueItem &item, const Usage &usage) -> void override;
    auto size() const -> std::size_t override { return m_index.size(); }

private:
    using Items = std::list<QueueItem>;
    struct Share
    {
        double counter = 0;
        Items waiting; //!< In the order in which they will be taken.
    };
    using Shares = std::map<std::string, Share>;
    struct Level
    {
        Shares shares;
        double highestServedCounter = 0; //!< Highest counter with which a share was served.
    };
    struct Location
    {
        wire::Priority priority;
        Shares::iterator share;
        Items::iterator item;
    };

    auto raiseCounter(Level &level, Share &share) -> void;
    auto takeAt(Level &level, Shares::iterator share, Items::iterator item) -> QueueItem;
    auto takeFrom(Level &level, const CanStart &canStart, std::size_t &remaining)
        -> std::optional<QueueItem>;
    auto erase(const Location &location) -> void;
    auto dropIdleShares(Level &level) -> void;

    std::size_t m_capacity;
    std::map<wire::Priority, Level> m_levels;
    std::unordered_map<std::string, Location> m_index;
};

} // namespace nutmegplank::request::queue
