#pragma once

#include <deque>
#include <functional>
#include <list>
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

    //! A call that is told when no more time is left, until it is destroyed.
    class EndHook
    {
    public:
        EndHook(ShutdownGate &gate, std::function<void()> hook);
        EndHook(const EndHook &) = delete;
        auto operator=(const EndHook &) -> EndHook & = delete;
        ~EndHook();

    private:
        ShutdownGate &m_gate;
        std::list<std::function<void()>>::iterator m_hook;
    };

    //! The process was told at \a now to stop and ends at \a end.
    auto begin(base::TimePoint now, base::TimePoint end) -> void;
    //! Whether a request of \a route that is given up after \a patience may be passed on to a
    //! server. Always before begin(). In the first seconds after it, requests are expected to last
    //! as long as the earlier ones of their route. Callers that come later could as well go to
    //! another machine, so that only the time limit tells that their requests end in time.
    auto maySend(const std::string &route, base::Duration patience, base::TimePoint now) const
        -> bool;
    //! Whether a call of \a route can end in time that this process itself can give up, with a true
    //! answer, at any moment. It takes \a atMost.
    auto mayTry(const std::string &route, base::Duration atMost, base::TimePoint now) const -> bool;
    //! Whether a call that takes \a atMost can end in time.
    auto hasTimeFor(base::Duration atMost, base::TimePoint now) const -> bool;
    //! The earlier of \a until and when a call must end so that its caller gets the answer.
    auto limit(base::TimePoint until) const -> base::TimePoint;
    //! Tells all calls that are under way to answer now. Runs at limit().
    auto endCalls() -> void;
    //! Notes that a call of \a route is passed on.
    auto take(const std::string &route, base::TimePoint now) -> TakenCall;

private:
    auto expectedDuration(const std::string &route, base::TimePoint now) const
        -> std::optional<base::Duration>;

    std::optional<base::TimePoint> m_lastAnswer; //!< Set once the process stops.
    base::TimePoint m_expectsUntil {};           //!< Then only time limits count.
    std::list<std::function<void()>> m_endHooks;
    std::unordered_map<std::string, HistoryPtr> m_histories; //!< By route.
};

} // namespace nutmegplank::request::shutdown
