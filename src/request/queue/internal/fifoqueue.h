#pragma once

#include <list>

#include "request/queue/iqueue.h"

namespace nutmegplank::request::queue {

//! Baseline for comparison: order of arrival, independent of priority and workspace.
class FifoQueue : public IQueue
{
public:
    explicit FifoQueue(std::size_t capacity)
        : m_capacity(capacity)
    { }

    auto push(QueueItem item) -> bool override;
    auto take(const CanStart &canStart) -> std::optional<QueueItem> override;
    auto remove(const std::string &id) -> bool override;
    auto expire(base::TimePoint now) -> std::vector<QueueItem> override;
    auto clear() -> std::vector<QueueItem> override;
    auto settle(const QueueItem &, const Usage &) -> void override { }
    auto size() const -> std::size_t override { return m_waiting.size(); }

private:
    std::size_t m_capacity;
    std::list<QueueItem> m_waiting;
};

} // namespace nutmegplank::request::queue
