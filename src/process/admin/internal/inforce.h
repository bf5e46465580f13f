#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/timepoint.h"
#include "process/membership/imembership.h"

namespace nutmegplank::process::admin {

//! Where a version of the configuration has arrived.
struct InForceVerdict
{
    bool inForce = false;
    std::vector<std::string> behind; //!< Ids of members heard lately that have an older version.
    std::vector<std::string> fenced; //!< Ids of members that have stopped keyed work by now.
};

//! What the verdict rests on.
struct InForceQuestion
{
    std::uint64_t version = 0;
    std::uint64_t ownVersion = 0; //!< Of the asking process; gossip may lag behind it.
    std::string ownId;
    base::TimePoint versionSeen {}; //!< When the asking process read \a version from the log.
    base::Duration confirmBound {};
};

//! A version is in force when each member has it or can no longer confirm an older one: whoever was
//! not heard for the bound since the version stood in the log has neither read the log to its end
//! nor heard a majority, and so stopped keyed work.
auto judgeInForce(const std::vector<membership::Member> &members, const InForceQuestion &question,
                  base::TimePoint now) -> InForceVerdict;

} // namespace nutmegplank::process::admin
