#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "base/timepoint.h"

//! Which calls a process that stops may still take.
namespace nutmegplank::request::shutdown {

//! Decides whether a call can end before a stopping process does. Learns from the calls it has
//! taken how long those of a route last. Not thread-safe; outlives the calls it took.
class ShutdownGate
{
    struct History
    {
        std::deque<base::Duration> durations;   //!< Of the newest calls.
        std::multiset<base::TimePoint> running; //!< Starts of the calls under way.
    };
    using HistoryPtr = std::shared_ptr<History>;

public:
    //! A call that was taken. One that is destroyed without finish() tells nothing.
    class TakenCall
    {
    public:
        TakenCall(HistoryPtr history, base::TimePoint startedAt);
        TakenCall(TakenCall &&) = default;
        TakenCall(const TakenCall &) = delete;
        auto operator=(TakenCall &&) -> TakenCall & = delete;
        auto operator=(const TakenCall &) -> TakenCall & = delete;
        ~TakenCall();

        //! \a complete: answered in whole; else the call would have lasted at least so long.
        auto finish(bool complete, base::TimePoint now) -> void;

    private:
        HistoryPtr m_history; //!< Null once finished.
        base::TimePoint m_startedAt;
    };

    //! The process ends at \a end.
    auto begin(base::TimePoint end) -> void;
    //! Whether a call of \a route that is given up after \a patience can end in time. Always before
    //! begin().
    auto maySend(const std::string &route, base::Duration patience, base::TimePoint now) const
        -> bool;
    //! Whether a call that takes \a atMost can end in time.
    auto hasTimeFor(base::Duration atMost, base::TimePoint now) const -> bool;
    //! The earlier of \a until and when a call must end so that its caller gets the answer.
    auto limit(base::TimePoint until) const -> base::TimePoint;
    //! Notes that a call of \a route is passed on.
    auto take(const std::string &route, base::TimePoint now) -> TakenCall;

private:
    auto expectedDuration(const std::string &route, base::TimePoint now) const
        -> std::optional<base::Duration>;

    std::optional<base::TimePoint> m_lastAnswer;             //!< Set once the process stops.
    std::unordered_map<std::string, HistoryPtr> m_histories; //!< By route.
};

} // namespace nutmegplank::request::shutdown
