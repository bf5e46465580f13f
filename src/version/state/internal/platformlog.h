#pragma once

#include <atomic>
#include <map>
#include <mutex>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include "process/snapshot/rcucell.h"
#include "version/state/internal/follower.h"
#include "version/state/internal/logclient.h"
#include "version/state/platformlog.h"

namespace nutmegplank::version::state {

//! I/O around Follower. Everything but the accessors runs on one strand; coroutines keep the object
//! alive until they have seen that it was stopped.
class PlatformLog : public std::enable_shared_from_this<PlatformLog>
{
public:
    PlatformLog(boost::asio::io_context &context, PlatformLogOptions options);

    auto start() -> void;
    //! After it no handler runs.
    auto stop() -> void;
    auto state() const -> LogStatePtr { return m_state.load(); }
    auto lastConfirmed() const -> base::TimePoint { return m_lastConfirmed.load(); }
    auto append(RecordKind kind, std::string recordId, boost::json::object body,
                base::Duration timeout) -> boost::asio::awaitable<absl::StatusOr<std::uint64_t>>;
    auto onChange(std::function<void(LogStatePtr)> handler) -> void;
    auto serializedState() -> boost::asio::awaitable<SerializedState>;

private:
    using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;

    //! An append that waits to be read back.
    struct Waiter
    {
        explicit Waiter(const Strand &strand)
            : timer(strand)
        { }
        boost::asio::steady_timer timer;
        std::optional<absl::StatusOr<std::uint64_t>> result;
    };
    using WaiterPtr = std::shared_ptr<Waiter>;

    auto follow() -> boost::asio::awaitable<void>;
    auto readOnce() -> boost::asio::awaitable<absl::Status>;
    auto takeRead(LogRead read, base::TimePoint sent) -> void;
    auto settle(const FollowedRecord &record) -> void;
    auto publish() -> void;
    auto appendOnStrand(std::string recordId, boost::json::object body, base::Duration timeout)
        -> boost::asio::awaitable<absl::StatusOr<std::uint64_t>>;
    auto repeatUntilRead(WaiterPtr waiter, std::string recordId, boost::json::object body,
                         base::TimePoint deadline) -> boost::asio::awaitable<absl::Status>;
    auto forget(const std::string &recordId, const WaiterPtr &waiter) -> void;

    Strand m_strand;
    PlatformLogOptions m_options;
    LogClient m_reader;
    LogClient m_appender;
    Follower m_follower;
    process::snapshot::RcuCell<LogState> m_state;
    std::atomic<base::TimePoint> m_lastConfirmed { base::TimePoint() };
    std::atomic<bool> m_stopped { false };
    std::multimap<std::string, WaiterPtr> m_waiters;
    std::mutex m_handlersMutex;
    std::vector<std::function<void(LogStatePtr)>> m_handlers;
};

} // namespace nutmegplank::version::state
