#include "request/freshness/freshness.h"

namespace nutmegplank::request::freshness {

auto mayServeKeyed(const Evidence &evidence, base::TimePoint now, base::Duration maxAge) -> bool
{
    const auto wasConfirmed = evidence.logConfirmedAt != base::TimePoint();
    const auto isRecent = now - evidence.logConfirmedAt <= maxAge;
    return (wasConfirmed && isRecent) || evidence.confirmedByMajority;
}

FreshnessGate::FreshnessGate(const version::state::IPlatformLog &log,
                             const process::membership::IMembership &membership,
                             base::Duration maxAge)
    : m_log(log)
    , m_membership(membership)
    , m_maxAge(maxAge)
{ }

auto FreshnessGate::mayServeKeyed(base::TimePoint now) const -> bool
{
    const auto logConfirmedAt = m_log.lastConfirmed();
    if (freshness::mayServeKeyed({ logConfirmedAt, false }, now, m_maxAge))
        return true;
    const auto version = m_log.state()->configuration->version;
    if (version == 0)
        return false;
    const auto isConfirmed = m_membership.confirmsConfiguration(version, now, m_maxAge);
    return freshness::mayServeKeyed({ logConfirmedAt, isConfirmed }, now, m_maxAge);
}

} // namespace nutmegplank::request::freshness
