#pragma once

#include <functional>
#include <set>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "version/journal/ijournal.h"
#include "version/journal/reachability.h"

namespace nutmegplank::version::journal {

struct FollowerOptions
{
    Partition partition;
    base::Duration wait { 0 };  //!< Long-poll time; 0 polls once per \a pause.
    base::Duration pause { 0 }; //!< Delay before the next read once the end is reached.
};

//! Callbacks of a follower; all of them run on the follower's executor.
struct FollowerHooks
{
    std::function<void(const Record &record, base::TimePoint now)> onRecord;
    //! Retention removed unread records; reading continues at offset \a first.
    std::function<void(std::uint64_t first, base::TimePoint now)> onGap;
};

//! Reads one partition from a start offset (0, or the end of a snapshot) and then keeps reading new
//! records.
class Follower
{
public:
    Follower(boost::asio::io_context &context, IJournal &journal, FollowerOptions options,
             FollowerHooks hooks);

    auto start(std::uint64_t from = 0) -> void;
    //! The next offset to read, which is the one after the last record passed to onRecord.
    auto position() const -> std::uint64_t { return m_position; }
    auto reachability() const -> const Reachability & { return m_reachability; }
    //! Retries an unreachable log faster for a short time, because a caller is waiting for it.
    auto requestFastRetries(base::TimePoint now) -> void { m_reachability.requestFastRetries(now); }
    auto caughtUp() const -> bool { return m_caughtUp; }
    //! Reads now instead of after the pause, because a new record is known to exist.
    auto readNow() -> void;

private:
    auto run() -> boost::asio::awaitable<void>;
    auto pause() -> boost::asio::awaitable<void>;
    auto processPage(const Page &page, base::TimePoint now) -> void;

    boost::asio::io_context &m_context;
    IJournal &m_journal;
    FollowerOptions m_options;
    FollowerHooks m_hooks;
    std::uint64_t m_position = 0;
    Reachability m_reachability;
    boost::asio::steady_timer m_pauseTimer;
    bool m_readNow = false;
    bool m_caughtUp = false;
};

//! Callbacks of a keyed follower; all of them run on the follower's executor.
struct KeyedFollowerHooks
{
    std::function<void(const KeyedRecord &record, base::TimePoint now)> onRecord;
    //! A snapshot was read and its records were passed to onRecord. Keys that are not in \a keys no
    //! longer existed when the log ended at offset \a end.
    std::function<void(const std::set<std::string> &keys, std::uint64_t end, base::TimePoint now)>
        onSnapshot;
};

//! Follows a topic where only the newest record of each key matters: reads a snapshot, then new
//! records, and a snapshot again if unread records were removed.
class KeyedFollower
{
public:
    KeyedFollower(boost::asio::io_context &context, IJournal &journal, FollowerOptions options,
                  KeyedFollowerHooks hooks);

    auto start() -> void;
    auto reachability() const -> const Reachability & { return m_reachability; }
    //! Whether a snapshot has been read since the start.
    auto complete() const -> bool { return m_complete; }
    //! Whether the record that is passed to onRecord comes from a snapshot, so that it can be of
    //! any age.
    auto isReadingSnapshot() const -> bool { return m_readingSnapshot; }
    //! Everything that was in the log at this time has been read.
    auto currentAsOf() const -> base::TimePoint { return m_currentAsOf; }
    //! Begins a read now, or after the one that is in progress, instead of after the pause.
    auto readNow() -> void;

private:
    auto run() -> boost::asio::awaitable<void>;
    auto readSnapshot() -> boost::asio::awaitable<bool>;
    auto readNext() -> boost::asio::awaitable<bool>;
    auto pause() -> boost::asio::awaitable<void>;

    boost::asio::io_context &m_context;
    IJournal &m_journal;
    FollowerOptions m_options;
    KeyedFollowerHooks m_hooks;
    std::uint64_t m_position = 0;
    Reachability m_reachability;
    boost::asio::steady_timer m_pauseTimer;
    base::TimePoint m_currentAsOf {};
    bool m_pausing = false;
    bool m_skipPause = false;
    bool m_complete = false;
    bool m_readingSnapshot = false;
};

} // namespace nutmegplank::version::journal
