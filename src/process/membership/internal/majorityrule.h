#pragma once

#include "process/membership/imembership.h"

//! Which conclusions a process may draw from what it has heard of the others lately.
namespace nutmegplank::process::membership {

//! Whether more than half of the last known members, this one included, were heard within \a bound.
//! Members that left gracefully do not count; dead ones do, since they may live on the other side
//! of a cut.
auto hearsMajority(const MemberView &view, const std::string &self, base::TimePoint now,
                   base::Duration bound) -> bool;

//! Whether a majority was heard and none of those heard reports a configuration newer than \a
//! version.
auto confirmsConfiguration(const MemberView &view, const std::string &self, std::uint64_t version,
                           base::TimePoint now, base::Duration bound) -> bool;

} // namespace nutmegplank::process::membership
