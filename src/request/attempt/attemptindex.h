#pragma once

#include <deque>
#include <mutex>
#include <string>
#include <unordered_map>

#include "base/timepoint.h"
#include "connection/link/link.pb.h"

namespace nutmegplank::request::attempt {

//! Where a cancellation has to go.
struct CancelTarget
{
    std::string shard;                 //!< Of a live attempt; empty when there is none.
    wire::Ran ran = wire::RAN_UNKNOWN; //!< When the attempt is not live.
};

//! All attempts of this process, by id: the live ones, and for a while the ended ones and those
//! that were cancelled before they came, so that a repeated or overtaken message runs nothing.
//! Safe for several threads.
class AttemptIndex
{
public:
    //! \a memory must exceed the time in which a message may still arrive.
    AttemptIndex(base::Duration memory, base::TimePoint startedAt)
        : m_memory(memory)
        , m_startedAt(startedAt)
    { }

    //! False when the attempt must not run here: it is known already, or was cancelled.
    auto begin(const std::string &id, const std::string &shard, base::TimePoint now) -> bool;
    auto end(const std::string &id, wire::Ran ran, base::TimePoint now) -> void;
    //! Notes the cancellation and says where it goes. "Not run" is said of an unknown attempt only
    //! if this process would remember it.
    auto cancel(const std::string &id, base::TimePoint now) -> CancelTarget;
    auto liveCount() const -> std::size_t;

private:
    struct Entry
    {
        std::string shard; //!< Empty once ended.
        wire::Ran ran = wire::RAN_UNKNOWN;
    };
    struct Ended
    {
        std::string id;
        base::TimePoint at;
    };

    auto forget(base::TimePoint now) -> void;

    base::Duration m_memory;
    base::TimePoint m_startedAt;
    mutable std::mutex m_mutex;
    std::unordered_map<std::string, Entry> m_entries;
    std::deque<Ended> m_ended; //!< Oldest first.
    std::size_t m_live = 0;
};

} // namespace nutmegplank::request::attempt
