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

//! Does the I/O for Follower. Everything except the accessors runs on one strand; coroutines keep
//! the object alive until they have noticed that it was stopped.
class PlatformLog : public std::enable_shared_from_this<PlatformLog>
{
public:
    PlatformLog(boost::asio::io_context &context, PlatformLogOptions options);

    auto start() -> void;
    //! No handler runs after this returns.
    auto stop() -> void;
    auto state() const -> LogStatePtr { return m_state.load(); }
    auto lastConfirmed() const -> base::TimePoint { return m_lastConfirmed.load(); }
    auto append(RecordKind kind, std::string recordId, boost::json::object body,
                base::Duration timeout) -> boost::asio::awaitable<absl::StatusOr<std::uint64_t>>;
    auto onChange(std::function<void(LogStatePtr)> handler) -> void;
    auto serializedState() -> boost::asio::awaitable<SerializedState>;

private:
    using Strand = boost::asio::strand<boost::asio::io_context::executor_type>;

    //! An append whose record has not been read back yet.
    struct PendingAppend
    {
        explicit PendingAppend(const Strand &strand)
            : timer(strand)
        { }
        boost::asio::steady_timer timer;
        std::optional<absl::StatusOr<std::uint64_t>> result;
    };
    using PendingAppendPtr = std::shared_ptr<PendingAppend>;

    auto runReadLoop() -> boost::asio::awaitable<void>;
    //! Returns whether records were read and no more are known to follow them.
    auto readOnce() -> boost::asio::awaitable<absl::StatusOr<bool>>;
    auto applyRead(LogRead read, base::TimePoint sent) -> void;
    auto completeAppends(const AppliedRecord &record) -> void;
    auto publishState() -> void;
    //! Delays the next read; an append ends the delay early.
    auto waitBetweenReads(base::Duration time) -> boost::asio::awaitable<void>;
    auto appendOnStrand(std::string recordId, boost::json::object body, base::Duration timeout)
        -> boost::asio::awaitable<absl::StatusOr<std::uint64_t>>;
    auto retryUntilReadBack(PendingAppendPtr pendingAppend, std::string recordId,
                            boost::json::object body, base::TimePoint deadline)
        -> boost::asio::awaitable<absl::Status>;
    auto removePendingAppend(const std::string &recordId, const PendingAppendPtr &pendingAppend)
        -> void;

    Strand m_strand;
    PlatformLogOptions m_options;
    boost::asio::steady_timer m_readTimer; //!< Runs between two reads.
    LogClient m_reader;
    LogClient m_appender;
    Follower m_follower;
    process::snapshot::RcuCell<LogState> m_state;
    std::atomic<base::TimePoint> m_lastConfirmed { base::TimePoint() };
    std::atomic<bool> m_stopped { false };
    std::multimap<std::string, PendingAppendPtr> m_pendingAppends;
    std::mutex m_handlersMutex;
    std::vector<std::function<void(LogStatePtr)>> m_handlers;
};

} // namespace nutmegplank::version::state
