#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/enumtable.h"
#include "base/timepoint.h"
#include "connection/link/link.pb.h"

//! Queue of the requests that wait for a backend server of one shard. Not thread-safe.
namespace nutmegplank::request::queue {

//! Properties of a waiting request that its position in the queue depends on.
struct QueueItem
{
    std::string id; //!< Attempt id.
    std::string workspace;
    std::uint32_t weight = 1;                       //!< Of the workspace.
    wire::Priority priority = wire::PRIORITY_ORDER; //!< Lower values are taken first.
    std::uint32_t expectedTokens = 0;               //!< 0 when unknown.
    base::TimePoint enqueued {};
    base::TimePoint deadline {};
};

//! Actual resource use of a finished request.
struct Usage
{
    std::uint32_t tokens = 0;
    base::Duration serverTime {};
};

enum class QueuePolicy {
    Fair, //!< Strict priorities, then weighted fair shares of the workspaces.
    Fifo, //!< Baseline for comparison: order of arrival.
};

constexpr auto QUEUE_POLICY_NAMES = base::EnumTable<QueuePolicy, 2> { {
    { QueuePolicy::Fair, "fair" },
    { QueuePolicy::Fifo, "fifo" },
} };

//! Whether a waiting request can be started now.
using CanStart = std::function<bool(const QueueItem &)>;

class IQueue
{
public:
    virtual ~IQueue() = default;

    //! False, without any change, when the queue is full or already contains the id.
    virtual auto push(QueueItem item) -> bool = 0;
    //! Removes and returns the first request that \a canStart accepts. Examines a limited number of
    //! requests, so that a call stays cheap when the queue is long.
    virtual auto take(const CanStart &canStart) -> std::optional<QueueItem> = 0;
    //! Removes one request; false when it is not in the queue.
    virtual auto remove(const std::string &id) -> bool = 0;
    //! Removes and returns all requests whose deadline is not after \a now.
    virtual auto expire(base::TimePoint now) -> std::vector<QueueItem> = 0;
    //! Removes and returns all requests.
    virtual auto clear() -> std::vector<QueueItem> = 0;
    //! Corrects the share of the workspace of \a item, which was taken earlier, by its actual
    //! usage.
    virtual auto settle(const QueueItem &item, const Usage &usage) -> void = 0;
    virtual auto size() const -> std::size_t = 0;
};

//! Cost of a request in the fair shares: one unit for a token or for a millisecond of a backend
//! server.
auto costOf(const Usage &usage) -> double;

//! Queue of at most \a capacity requests.
auto makeQueue(QueuePolicy policy, std::size_t capacity) -> std::unique_ptr<IQueue>;

} // namespace nutmegplank::request::queue
