#include "request/idempotency/replicaselection.h"

#include "base/hash.h"

namespace nutmegplank::request::idempotency {

namespace {

//! Gateways that left are remembered for this long beyond the retention time, because views arrive
//! at intervals and deaths are detected with a delay.
constexpr auto MEMBERSHIP_DELAY = std::chrono::seconds(30);
constexpr auto REQUIRED_COPIES = std::size_t(2);

auto isReplica(const std::vector<ReplicaCandidate> &replicas, const std::string &id) -> bool
{
    return std::any_of(replicas.begin(), replicas.end(),
                       [&id](const ReplicaCandidate &replica) { return replica.id == id; });
}

} // namespace

auto replicasOf(const std::string &name, const std::vector<ReplicaCandidate> &candidates)
    -> std::vector<ReplicaCandidate>
{
    auto zones = std::map<std::string, std::string>();
    auto ids = std::vector<std::string>();
    for (const auto &candidate : candidates) {
        ids.push_back(candidate.id);
        zones[candidate.id] = candidate.zone;
    }
    auto replicas = std::vector<ReplicaCandidate>();
    for (const auto &id : base::rendezvousRanking(name, ids))
        replicas.push_back({ id, zones[id] });
    if (replicas.size() <= MAX_REPLICAS)
        return replicas;
    const auto &zone = replicas.front().zone;
    const auto lastReplica = replicas.begin() + MAX_REPLICAS - 1;
    const auto isInOtherZone = [&zone](const ReplicaCandidate &replica) {
        return replica.zone != zone;
    };
    const auto otherZoneReplica = std::find_if(replicas.begin() + 1, replicas.end(), isInOtherZone);
    // All of the first MAX_REPLICAS lie in one zone: the best one of another zone becomes the last.
    if (otherZoneReplica != replicas.end() && otherZoneReplica > lastReplica)
        std::iter_swap(lastReplica, otherZoneReplica);
    replicas.resize(MAX_REPLICAS);
    return replicas;
}

auto writeQuorum(std::size_t replicas) -> std::size_t
{
    return std::min(replicas, REQUIRED_COPIES);
}

auto absenceQuorum(std::size_t replicas) -> std::size_t
{
    return std::min(replicas, MAX_REPLICAS - REQUIRED_COPIES + 1);
}

AbsenceVerifier::AbsenceVerifier(ReplicaCandidate self, base::TimePoint startedAt,
                                 base::Duration retention)
    : m_self(std::move(self))
    , m_startedAt(startedAt)
    , m_retention(retention)
{ }

auto AbsenceVerifier::observe(const process::membership::MemberView &view, base::TimePoint now)
    -> void
{
    using process::membership::MemberState;
    m_liveOtherGateways = 0;
    for (const auto &member : view.members) {
        if (member.role != process::membership::Role::Gateway || member.id == m_self.id)
            continue;
        auto &gateway =
            m_knownGateways.try_emplace(member.id, KnownGateway { member.zone, now }).first->second;
        if (member.state == MemberState::Dead)
            continue;
        gateway.lastAliveAt = now;
        ++m_liveOtherGateways;
    }
    const auto trackingTime = m_retention + MEMBERSHIP_DELAY;
    std::erase_if(m_knownGateways,
                  [&](const auto &entry) { return now - entry.second.lastAliveAt > trackingTime; });
}

auto AbsenceVerifier::canConfirmAbsenceOf(const std::string &name, base::TimePoint now) const
    -> bool
{
    if (now - m_startedAt < m_retention && !m_startedWithoutServices)
        return false;
    // If this gateway is the only one left of three replicas, it may be the one without a copy.
    if (m_liveOtherGateways == 0 && m_knownGateways.size() >= REQUIRED_COPIES)
        return false;
    auto candidates = std::vector<ReplicaCandidate> { m_self };
    for (const auto &[id, gateway] : m_knownGateways)
        candidates.push_back({ id, gateway.zone });
    return isReplica(replicasOf(name, candidates), m_self.id);
}

} // namespace nutmegplank::request::idempotency
