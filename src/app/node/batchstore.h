#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "process/metrics/metrics.h"
#include "version/batch/batchlog.h"
#include "version/batch/bulkpartitions.h"
#include "version/journal/follower.h"

namespace nutmegplank::app::node {

using SubmissionPtr = std::shared_ptr<const version::batch::Submission>;

//! The batches of all machines: follows their index, writes new ones and ends into the log, and
//! reads bodies and texts from it when they are needed.
class BatchStore
{
public:
    BatchStore(boost::asio::io_context &context, version::journal::IJournal &journal,
               std::string process, process::metrics::Registry &metrics);

    auto start() -> void;
    auto setHooks(version::batch::BatchLogHooks hooks) -> void { m_hooks = std::move(hooks); }

    auto log() const -> const version::batch::BatchLog & { return m_log; }
    auto caughtUp() const -> bool { return m_follower.caughtUp(); }
    //! Whether everything has been read that was in the log a moment ago.
    auto current(base::TimePoint now) const -> bool;
    auto reachable() const -> bool { return m_follower.reachability().reachable(); }
    //! Somebody waits for the log's return.
    auto requestFastRetries(base::TimePoint now) -> void { m_follower.requestFastRetries(now); }
    auto position() const -> std::uint64_t { return m_follower.position(); }
    auto forget(std::int64_t submittedBeforeMs) -> void { m_log.forget(submittedBeforeMs); }

    //! Where bulk records go; shared with who writes results.
    auto bulk() -> version::batch::BulkPartitions & { return m_bulk; }

    //! Puts a batch into the log.
    auto keep(SubmissionPtr submission) -> boost::asio::awaitable<version::journal::AppendResult>;
    //! Puts the end of a batch into the log.
    auto end(std::string batchKey) -> boost::asio::awaitable<version::journal::AppendResult>;
    //! The items of a batch.
    auto loadSubmission(std::string batchKey)
        -> boost::asio::awaitable<absl::StatusOr<SubmissionPtr>>;
    //! What earlier holders of the lease have kept of unfinished items; empty when it can't be
    //! read.
    auto loadProgress(std::string batchKey)
        -> boost::asio::awaitable<std::vector<version::batch::Progress>>;
    //! Results from \a position on, about \a mostBytes of text at most, one at least.
    auto loadResults(std::string batchKey, std::uint64_t position, std::size_t mostBytes)
        -> boost::asio::awaitable<absl::StatusOr<std::vector<version::batch::Result>>>;
    //! Reads everything that is in the log by now; returns false if that is not known to be done.
    auto readToEnd() -> boost::asio::awaitable<bool>;
    //! Returns when something about a batch with the id \a id has changed, or at \a until.
    auto waitForChange(std::string id, base::TimePoint until) -> boost::asio::awaitable<void>;
    //! Returns once everything before \a offset has been read, or false at \a until.
    auto waitForPosition(std::uint64_t offset, base::TimePoint until)
        -> boost::asio::awaitable<bool>;

private:
    using Waiter = std::shared_ptr<boost::asio::steady_timer>;

    struct StoredBulk
    {
        version::journal::AppendResult result;
        version::batch::BulkPlace place;
    };

    //! What the last read of a bulk partition gave.
    struct CachedPage
    {
        std::uint32_t partition = 0;
        version::journal::Page page;

        auto holds(const version::batch::BulkPlace &place) const -> bool;
    };

    auto wakeWaiters(const std::string &id) -> void;
    auto storeBulk(const std::string &batchKey, std::vector<std::string> records)
        -> boost::asio::awaitable<StoredBulk>;
    auto loadRecord(CachedPage &cached, version::batch::BulkPlace place)
        -> boost::asio::awaitable<absl::StatusOr<const version::journal::Record *>>;
    auto remember(SubmissionPtr submission) -> void;

    boost::asio::io_context &m_context;
    version::journal::IJournal &m_journal;
    std::string m_process;
    std::uint64_t m_attempts = 0;
    version::batch::BulkPartitions m_bulk;
    version::batch::BatchLogHooks m_hooks;
    version::batch::BatchLog m_log;
    version::journal::Follower m_follower;
    std::map<std::string, std::vector<Waiter>> m_waiters; //!< By the batch's id.
    std::deque<SubmissionPtr> m_recent;                   //!< Read or stored lately, newest first.
    process::metrics::Counter &m_accepted;
    process::metrics::Counter &m_bulkReads;
};

} // namespace nutmegplank::app::node
