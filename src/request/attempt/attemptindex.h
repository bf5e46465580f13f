#pragma once

#include <deque>
#include <mutex>
#include <string>
#include <unordered_map>

#include "base/timepoint.h"
#include "connection/link/link.pb.h"

namespace nutmegplank::request::attempt {

//! Where a cancellation has to be forwarded.
struct CancelTarget
{
    std::string shard;                 //!< Of the running attempt; empty if it is not running.
    wire::Ran ran = wire::RAN_UNKNOWN; //!< Whether an attempt that is not running may have run.
};

//! All attempts of this process, by id: the running ones, and for the retention time also the ended
//! ones and those that were cancelled before they arrived, so that duplicate and reordered messages
//! start no attempt. Thread-safe.
class AttemptIndex
{
public:
    //! \a retention, the time for which ended attempts are kept, must exceed the maximum delay of a
    //! message.
    AttemptIndex(base::Duration retention, base::TimePoint startedAt)
        : m_retention(retention)
        , m_startedAt(startedAt)
    { }

    //! Registers a running attempt. Returns false if it must not run, because it is already known
    //! or was cancelled.
    auto begin(const std::string &id, const std::string &shard, base::TimePoint now) -> bool;
    //! Marks the attempt as ended; ignored if it is not running.
    auto end(const std::string &id, wire::Ran ran, base::TimePoint now) -> void;
    //! Records the cancellation and returns where to forward it. For an unknown attempt the result
    //! is RAN_NOT_RUN only if the process has run for the whole retention time, because otherwise
    //! an earlier process at the same address may have run it.
    auto cancel(const std::string &id, base::TimePoint now) -> CancelTarget;
    auto liveCount() const -> std::size_t;

private:
    struct Entry
    {
        std::string shard; //!< Empty once the attempt has ended.
        wire::Ran ran = wire::RAN_UNKNOWN;
    };
    struct EndedAttempt
    {
        std::string id;
        base::TimePoint endedAt;
    };

    auto dropExpired(base::TimePoint now) -> void;

    base::Duration m_retention;
    base::TimePoint m_startedAt;
    mutable std::mutex m_mutex;
    std::unordered_map<std::string, Entry> m_entries;
    std::deque<EndedAttempt> m_endedAttempts; //!< Oldest first.
    std::size_t m_liveCount = 0;
};

} // namespace nutmegplank::request::attempt
