#pragma once

#include <optional>

#include "base/timepoint.h"

namespace nutmegplank::request::queue {

//! Times of the early refusal.
struct EarlyRefusalOptions
{
    bool enabled = true;
    base::Duration target = std::chrono::milliseconds(100); //!< Waiting time that is no concern.
    base::Duration interval = std::chrono::milliseconds(500);
};

//! Tells a standing queue from a burst by the shortest waiting time within an interval, as CoDel
//! does (Nichols and Jacobson, "Controlling Queue Delay", 2012). While the queue stands, a request
//! that would reach its deadline before its turn is refused at once and not after waiting in vain.
class EarlyRefusal
{
public:
    explicit EarlyRefusal(EarlyRefusalOptions options)
        : m_options(options)
    { }

    //! Notes that a request was taken at \a now after waiting for \a waited.
    auto onTaken(base::Duration waited, base::TimePoint now) -> void;
    //! Notes that nothing waits.
    auto onEmpty() -> void;
    //! When to come again, if a request that arrives at \a now is to be refused.
    auto refuse(base::TimePoint deadline, base::TimePoint now) const
        -> std::optional<base::Duration>;

private:
    EarlyRefusalOptions m_options;
    base::TimePoint m_intervalStart {};
    base::Duration m_shortest = base::Duration::max();
    base::Duration m_standing {}; //!< Shortest wait of the last whole interval.
};

} // namespace nutmegplank::request::queue
