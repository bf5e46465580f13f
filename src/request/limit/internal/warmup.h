#pragma once

#include "request/limit/ilimit.h"

namespace nutmegplank::request::limit {

//! Time-dependent part of a limit: the cold limit during the warm-up, then a steep ramp that
//! reaches the warm limit well before 1.5 times the warm-up. A cold server fails under more than
//! its cold limit, so the limit isn't probed upwards before the warm-up is over.
class WarmUp
{
public:
    WarmUp(LimitOptions options, base::TimePoint now)
        : m_options(options)
        , m_coldSince(now)
    { }

    auto restart(base::TimePoint now) -> void;
    //! Ends the warm-up, as the server is already running \a running requests.
    auto skip(std::uint32_t running, base::TimePoint now) -> void;
    auto isCold(base::TimePoint now) const -> bool;
    //! Maximum number of concurrent requests at \a now.
    auto ceiling(base::TimePoint now) const -> std::uint32_t;
    auto options() const -> const LimitOptions & { return m_options; }

private:
    LimitOptions m_options;
    base::TimePoint m_coldSince;
    std::uint32_t m_observedRunning = 0; //!< Most requests the server has been seen to run.
};

} // namespace nutmegplank::request::limit
