#pragma once

#include <list>

#include "request/queue/iqueue.h"

namespace nutmegplank::request::queue {

//! Strict priorities; inside one, the workspace with the lowest virtual counter goes first. The
//! counters follow the Virtual Token Counter of Sheng et al., "Fairness in Serving Large Language
//! Models" (OSDI 2024): they grow by cost over weight, are corrected by the true cost, and a
//! workspace that comes back from idling is lifted to the lowest counter of those that wait, so
//! that idling saves up nothing.
class FairQueue : public IQueue
{
public:
    explicit FairQueue(std::size_t bound)
        : m_bound(bound)
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
        Items waiting; //!< In the order in which they are to be taken.
    };
    using Shares = std::map<std::string, Share>;
    struct Level
    {
        Shares shares;
        double lastTaken = 0; //!< Counter of the share that was served last.
    };
    struct Place
    {
        wire::Priority priority;
        Shares::iterator share;
        Items::iterator item;
    };

    auto lift(Level &level, Share &share) -> void;
    auto takeAt(Level &level, Shares::iterator share, Items::iterator item) -> QueueItem;
    auto takeFrom(Level &level, const CanStart &canStart, std::size_t &looks)
        -> std::optional<QueueItem>;
    auto erase(const Place &place) -> void;
    auto dropIdleShares(Level &level) -> void;

    std::size_t m_bound;
    std::map<wire::Priority, Level> m_levels;
    std::unordered_map<std::string, Place> m_index;
};

} // namespace nutmegplank::request::queue
