#include "request/freshness/freshness.h"

namespace nutmegplank::request::freshness {

auto mayServeKeyed(const Evidence &evidence, base::TimePoint now, base::Duration bound) -> bool
{
    const auto wasConfirmed = evidence.logConfirmed != base::TimePoint();
    const auto isRecent = now - evidence.logConfirmed <= bound;
    return (wasConfirmed && isRecent) || evidence.confirmedByMembers;
}

FreshnessGate::FreshnessGate(const version::state::IPlatformLog &log,
                             const process::membership::IMembership &membership,
                             base::Duration bound)
    : m_log(log)
    , m_membership(membership)
    , m_bound(bound)
{ }

auto FreshnessGate::mayServeKeyed(base::TimePoint now) const -> bool
{
    const auto logConfirmed = m_log.lastConfirmed();
    if (freshness::mayServeKeyed({ logConfirmed, false }, now, m_bound))
        return true;
    const auto version = m_log.state()->configuration->version;
    if (version == 0)
        return false;
    const auto confirmed = m_membership.confirmsConfiguration(version, now, m_bound);
    return freshness::mayServeKeyed({ logConfirmed, confirmed }, now, m_bound);
}

} // namespace nutmegplank::request::freshness
