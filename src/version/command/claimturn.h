#pragma once

#include <cstdint>
#include <optional>

#include "base/timepoint.h"
#include "version/lease/ilease.h"

namespace nutmegplank::version::command {

//! Whose turn it is to claim a free scope. Scopes are spread over the live controllers by
//! rendezvous hashing of the scope: the first of the ranking claims at once, each further one
//! later, so that a dead favourite does not leave the scope without a holder. The rule is that of
//! FR-013 and FR-014 of the paper named in docs/DESIGN.md.
class ClaimTurn
{
public:
    explicit ClaimTurn(lease::LeaseTimes times);

    //! \a rank of this process for the scope, 0 = first; \a lease as the log has it, null when
    //! nobody ever claimed it.
    auto mayClaim(std::size_t rank, const state::LeaseState *lease, base::TimePoint now) -> bool;

private:
    lease::LeaseTimes m_times;
    std::optional<std::uint64_t> m_lastOffset; //!< Of the newest claim, renewal or release seen.
    bool m_held = false;
    base::TimePoint m_since {}; //!< When it was first seen.
};

} // namespace nutmegplank::version::command
