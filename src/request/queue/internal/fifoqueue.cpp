#include "request/queue/internal/fifoqueue.h"

namespace nutmegplank::request::queue {

namespace {

//! Maximum number of requests that one take() examines.
constexpr auto MAX_EXAMINED = std::size_t(256);

} // namespace

auto FifoQueue::push(QueueItem item) -> bool
{
    const auto isDuplicate = std::any_of(m_waiting.begin(), m_waiting.end(),
                                         [&](const auto &other) { return other.id == item.id; });
    if (m_waiting.size() >= m_capacity || isDuplicate)
        return false;
    m_waiting.push_back(std::move(item));
    return true;
}

auto FifoQueue::take(const CanStart &canStart) -> std::optional<QueueItem>
{
    auto remaining = MAX_EXAMINED;
    for (auto item = m_waiting.begin(); item != m_waiting.end() && remaining > 0;
         ++item, --remaining) {
        if (!canStart(*item))
            continue;
        auto taken = std::move(*item);
        m_waiting.erase(item);
        return taken;
    }
    return std::nullopt;
}

auto FifoQueue::remove(const std::string &id) -> bool
{
    return m_waiting.remove_if([&](const auto &item) { return item.id == id; }) > 0;
}

auto FifoQueue::expire(base::TimePoint now) -> std::vector<QueueItem>
{
    auto expired = std::vector<QueueItem>();
    m_waiting.remove_if([&](const auto &item) {
        if (item.deadline > now)
            return false;
        expired.push_back(item);
        return true;
    });
    return expired;
}

auto FifoQueue::clear() -> std::vector<QueueItem>
{
    return expire(base::TimePoint::max());
}

} // namespace nutmegplank::request::queue
