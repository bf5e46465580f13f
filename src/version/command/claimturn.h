#pragma once

#include <cstdint>
#include <functional>
#include <optional>

#include "base/timepoint.h"
#include "version/lease/ilease.h"

namespace nutmegplank::version::command {

//! Decides when this process may claim a free scope. Rendezvous hashing of the scope ranks the live
//! controllers: the first claims at once and each further one later, so that a dead first
//! controller does not leave the scope without a holder. The rule implements FR-013 and FR-014 of
//! the feature specification cited in docs/DESIGN.md.
class ClaimTurn
{
public:
    explicit ClaimTurn(lease::LeaseTimes times);

    //! \a rankOf returns the rank of this process for the scope, 0 being first; it is called only
    //! if the scope may be free. \a lease is the state in the log, null if it was never claimed.
    auto mayClaim(const std::function<std::size_t()> &rankOf, const state::LeaseState *lease,
                  base::TimePoint now) -> bool;

private:
    lease::LeaseTimes m_times;
    std::optional<std::uint64_t> m_lastOffset; //!< Offset of the newest claim, renewal or release.
    bool m_held = false;
    base::TimePoint m_since {}; //!< When the current offset and holder state were first seen.
};

} // namespace nutmegplank::version::command
