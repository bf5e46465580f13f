#pragma once

#include "base/timepoint.h"
#include "process/membership/imembership.h"
#include "version/state/iplatformlog.h"

//! Decides whether this process may still trust its configuration, so that revoked API keys stop
//! working even at a process that is isolated from the network.
namespace nutmegplank::request::freshness {

//! Evidence that the configuration is up to date.
struct Evidence
{
    base::TimePoint logConfirmedAt; //!< When the log was last read to its end; zero if never.
    bool confirmedByMajority;       //!< A majority was heard recently and none has a newer version.
};

//! Requests with an API key may be served if the log was read within \a maxAge, or if a majority of
//! the processes confirms the version. Either one is sufficient: the log has outages, and a process
//! without a majority may still reach the log.
auto mayServeKeyed(const Evidence &evidence, base::TimePoint now, base::Duration maxAge) -> bool;

//! Applies mayServeKeyed() to a log and a membership, which must both outlive this object.
class FreshnessGate
{
public:
    FreshnessGate(const version::state::IPlatformLog &log,
                  const process::membership::IMembership &membership, base::Duration maxAge);

    auto mayServeKeyed(base::TimePoint now) const -> bool;

private:
    const version::state::IPlatformLog &m_log;
    const process::membership::IMembership &m_membership;
    base::Duration m_maxAge;
};

} // namespace nutmegplank::request::freshness
