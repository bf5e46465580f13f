#include "request/queue/internal/fairqueue.h"
#include "request/queue/internal/fifoqueue.h"

namespace nutmegplank::request::queue {

auto costOf(const Usage &usage) -> double
{
    return static_cast<double>(usage.tokens)
        + static_cast<double>(base::toMilliseconds(usage.serverTime));
}

auto makeQueue(QueuePolicy policy, std::size_t capacity) -> std::unique_ptr<IQueue>
{
    if (policy == QueuePolicy::Fifo)
        return std::make_unique<FifoQueue>(capacity);
    return std::make_unique<FairQueue>(capacity);
}

} // namespace nutmegplank::request::queue
