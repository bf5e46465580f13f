#pragma once

#include "base/timepoint.h"
#include "process/membership/imembership.h"
#include "version/state/iplatformlog.h"

//! Whether this process may trust its configuration now, so that withdrawn keys stop working even
//! at a process that is cut off.
namespace nutmegplank::request::freshness {

//! What the rule looks at.
struct Evidence
{
    base::TimePoint logConfirmed; //!< When the log last answered a read to its end.
    bool confirmedByMembers;      //!< A majority was heard lately and none has a newer version.
};

//! Keyed requests may be served when the log answered within \a bound, or when the other processes
//! confirm the version. The log alone must not decide, for it has outages; the members alone must
//! not either, for a lone process may still reach the log.
auto mayServeKeyed(const Evidence &evidence, base::TimePoint now, base::Duration bound) -> bool;

//! The rule over a log and the membership; both must outlive it.
class FreshnessGate
{
public:
    FreshnessGate(const version::state::IPlatformLog &log,
                  const process::membership::IMembership &membership, base::Duration bound);

    auto mayServeKeyed(base::TimePoint now) const -> bool;

private:
    const version::state::IPlatformLog &m_log;
    const process::membership::IMembership &m_membership;
    base::Duration m_bound;
};

} // namespace nutmegplank::request::freshness
