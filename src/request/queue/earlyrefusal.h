#pragma once

#include <optional>

#include "base/timepoint.h"

namespace nutmegplank::request::queue {

//! Settings of the early refusal.
struct EarlyRefusalOptions
{
    bool enabled = true;
    //! Nothing is refused while the shortest waiting time is at most this.
    base::Duration target = std::chrono::milliseconds(100);
    //! Length of the interval over which the shortest waiting time is taken.
    base::Duration interval = std::chrono::milliseconds(500);
};

//! Distinguishes a standing queue from a burst by the shortest waiting time within an interval, as
//! in CoDel (Nichols and Jacobson, "Controlling Queue Delay", 2012). While there is a standing
//! queue, a request that would reach its deadline before its turn is refused immediately instead of
//! after a useless wait.
class EarlyRefusal
{
public:
    explicit EarlyRefusal(EarlyRefusalOptions options)
        : m_options(options)
    { }

    //! Call when a request is taken from the queue at \a now after waiting for \a waited.
    auto onTaken(base::Duration waited, base::TimePoint now) -> void;
    //! Call when the queue is empty.
    auto onEmpty() -> void;
    //! Time after which to retry if a request that arrives at \a now must be refused; otherwise
    //! nothing.
    auto refusalRetryDelay(base::TimePoint deadline, base::TimePoint now) const
        -> std::optional<base::Duration>;

private:
    EarlyRefusalOptions m_options;
    base::TimePoint m_intervalStart {};
    base::Duration m_shortestWait = base::Duration::max(); //!< In the current interval.
    base::Duration m_standingWait {}; //!< Shortest wait in the last full interval and since.
};

} // namespace nutmegplank::request::queue
