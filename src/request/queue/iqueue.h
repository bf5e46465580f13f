#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/enumtable.h"
#include "base/timepoint.h"
#include "connection/link/link.pb.h"

//! Requests that wait for a backend server of one shard. Not safe for several threads.
namespace nutmegplank::request::queue {

//! A waiting request, as far as its place in the queue depends on it.
struct QueueItem
{
    std::string id; //!< Attempt id.
    std::string workspace;
    std::uint32_t weight = 1; //!< Of the workspace.
    wire::Priority priority = wire::PRIORITY_ORDER;
    std::uint32_t expectedTokens = 0; //!< 0 when unknown.
    base::TimePoint enqueued {};
    base::TimePoint deadline {};
};

//! What an ended request really used.
struct Usage
{
    std::uint32_t tokens = 0;
    base::Duration serverTime {};
};

enum class QueuePolicy {
    Fair, //!< Priorities, then weighted fair shares of the workspaces.
    Fifo, //!< Plain baseline: order of arrival.
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

    //! False when the queue is full or holds the id already; then nothing has changed.
    virtual auto push(QueueItem item) -> bool = 0;
    //! Removes and gives the first request that \a canStart accepts. Looks at a bounded number of
    //! requests, so that one call stays cheap under a long queue.
    virtual auto take(const CanStart &canStart) -> std::optional<QueueItem> = 0;
    //! Removes one request; false when it does not wait here.
    virtual auto remove(const std::string &id) -> bool = 0;
    //! Removes and gives all requests whose deadline has come at \a now.
    virtual auto expire(base::TimePoint now) -> std::vector<QueueItem> = 0;
    //! Removes and gives all requests.
    virtual auto clear() -> std::vector<QueueItem> = 0;
    //! Corrects the share of the workspace of \a item, which was taken earlier, by what it used.
    virtual auto settle(const QueueItem &item, const Usage &usage) -> void = 0;
    virtual auto size() const -> std::size_t = 0;
};

//! Cost of a request in the unit of the fair shares: one token, or one millisecond of a backend
//! server.
auto costOf(const Usage &usage) -> double;

//! A queue of at most \a bound requests.
auto makeQueue(QueuePolicy policy, std::size_t bound) -> std::unique_ptr<IQueue>;

} // namespace nutmegplank::request::queue
