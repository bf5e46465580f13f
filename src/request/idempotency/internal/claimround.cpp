#include "request/idempotency/claimround.h"

#include <set>

namespace nutmegplank::request::idempotency {

ClaimRound::ClaimRound(std::vector<ReplicaCandidate> replicas, std::string fingerprint)
    : m_replicas(std::move(replicas))
    , m_fingerprint(std::move(fingerprint))
{
    if (m_replicas.empty())
        m_result = ClaimResult::Unavailable;
}

auto ClaimRound::replicasToContact() -> std::vector<std::string>
{
    if (m_result.has_value())
        return {};
    auto nextReplicas = std::vector<std::string>();
    if (m_contacted.empty()) {
        nextReplicas.push_back(m_replicas.front().id);
    } else if (m_contacted.size() == 1 && m_answers.size() == 1) {
        for (auto replica = m_replicas.begin() + 1; replica != m_replicas.end(); ++replica)
            nextReplicas.push_back(replica->id);
    }
    m_contacted.insert(m_contacted.end(), nextReplicas.begin(), nextReplicas.end());
    return nextReplicas;
}

auto ClaimRound::onAnswer(const std::string &replica, const wire::IdempotencyAnswer &answer) -> void
{
    if (m_result.has_value())
        return;
    m_answers[replica] = answer;
    if (!answer.created()) {
        m_existing = answer.record();
        m_result = resultForExisting();
        return;
    }
    if (m_answers.size() == m_replicas.size())
        m_result = conclude();
}

auto ClaimRound::resultForExisting() const -> ClaimResult
{
    // A replica whose store is full neither creates a record nor has one.
    if (m_existing.state() == wire::RECORD_ABSENT)
        return ClaimResult::Unavailable;
    if (m_existing.fingerprint() != m_fingerprint)
        return ClaimResult::KeyReused;
    if (m_existing.state() == wire::RECORD_DONE)
        return ClaimResult::Replay;
    return m_existing.state() == wire::RECORD_RUNNING ? ClaimResult::InProgress
                                                      : ClaimResult::Unknown;
}

auto ClaimRound::hasEnoughCopies() const -> bool
{
    auto allZones = std::set<std::string>();
    auto answeredZones = std::set<std::string>();
    for (const auto &replica : m_replicas) {
        allZones.insert(replica.zone);
        if (m_answers.contains(replica.id))
            answeredZones.insert(replica.zone);
    }
    return m_answers.size() >= writeQuorum(m_replicas.size())
        && answeredZones.size() >= std::min<std::size_t>(allZones.size(), 2);
}

auto ClaimRound::conclude() -> ClaimResult
{
    if (m_result.has_value())
        return *m_result;
    // too_young on the wire: the replica cannot confirm that no record existed.
    const auto confirmations = static_cast<std::size_t>(
        std::count_if(m_answers.begin(), m_answers.end(),
                      [](const auto &entry) { return !entry.second.too_young(); }));
    if (!hasEnoughCopies())
        m_result = ClaimResult::Unavailable;
    else if (confirmations < absenceQuorum(m_replicas.size()))
        m_result = ClaimResult::Unknown;
    else
        m_result = ClaimResult::Run;
    return *m_result;
}

} // namespace nutmegplank::request::idempotency
