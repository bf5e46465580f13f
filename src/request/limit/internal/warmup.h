#pragma once

#include "request/limit/ilimit.h"

namespace nutmegplank::request::limit {

//! The part of a limit that depends on time alone: the cold limit for the whole warm-up, then a
//! steep ramp to the warm limit, which it reaches well before 1.5 times the warm-up. A server that
//! is cold breaks under more than its cold limit, so nothing is tried before the warm-up is over.
class WarmUp
{
public:
    WarmUp(LimitOptions options, base::TimePoint now)
        : m_options(options)
        , m_coldSince(now)
    { }

    auto restart(base::TimePoint now) -> void;
    //! Skips the warm-up from \a reached requests on.
    auto skip(std::uint32_t reached, base::TimePoint now) -> void;
    auto isCold(base::TimePoint now) const -> bool;
    //! The most that the server may get at \a now.
    auto ceiling(base::TimePoint now) const -> std::uint32_t;
    auto options() const -> const LimitOptions & { return m_options; }

private:
    LimitOptions m_options;
    base::TimePoint m_coldSince;
    std::uint32_t m_reached = 0; //!< Borne already, as the server itself showed.
};

} // namespace nutmegplank::request::limit
