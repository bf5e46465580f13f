#include "request/idempotency/claimround.h"

#include <set>

namespace nutmegplank::request::idempotency {

ClaimRound::ClaimRound(std::vector<HomeCandidate> homes, std::string fingerprint)
    : m_homes(std::move(homes))
    , m_fingerprint(std::move(fingerprint))
{
    if (m_homes.empty())
        m_result = ClaimResult::Unavailable;
}

auto ClaimRound::toAsk() -> std::vector<std::string>
{
    if (m_result.has_value())
        return {};
    auto next = std::vector<std::string>();
    if (m_asked.empty()) {
        next.push_back(m_homes.front().id);
    } else if (m_asked.size() == 1 && m_answers.size() == 1) {
        for (auto home = m_homes.begin() + 1; home != m_homes.end(); ++home)
            next.push_back(home->id);
    }
    m_asked.insert(m_asked.end(), next.begin(), next.end());
    return next;
}

auto ClaimRound::onAnswer(const std::string &home, const wire::IdempotencyAnswer &answer) -> void
{
    if (m_result.has_value())
        return;
    m_answers[home] = answer;
    if (!answer.created()) {
        m_earlier = answer.record();
        m_result = resultForEarlier();
        return;
    }
    if (m_answers.size() == m_homes.size())
        m_result = settle();
}

auto ClaimRound::resultForEarlier() const -> ClaimResult
{
    // A home without room creates nothing and has nothing.
    if (m_earlier.state() == wire::RECORD_ABSENT)
        return ClaimResult::Unavailable;
    if (m_earlier.fingerprint() != m_fingerprint)
        return ClaimResult::KeyReused;
    if (m_earlier.state() == wire::RECORD_DONE)
        return ClaimResult::Replay;
    return m_earlier.state() == wire::RECORD_RUNNING ? ClaimResult::InProgress
                                                     : ClaimResult::Unknown;
}

auto ClaimRound::hasEnoughCopies() const -> bool
{
    auto allZones = std::set<std::string>();
    auto zones = std::set<std::string>();
    for (const auto &home : m_homes) {
        allZones.insert(home.zone);
        if (m_answers.contains(home.id))
            zones.insert(home.zone);
    }
    return m_answers.size() >= copiesNeeded(m_homes.size())
        && zones.size() >= std::min<std::size_t>(allZones.size(), 2);
}

auto ClaimRound::settle() -> ClaimResult
{
    if (m_result.has_value())
        return *m_result;
    const auto vouchers = static_cast<std::size_t>(
        std::count_if(m_answers.begin(), m_answers.end(),
                      [](const auto &entry) { return !entry.second.too_young(); }));
    if (!hasEnoughCopies())
        m_result = ClaimResult::Unavailable;
    else if (vouchers < vouchersNeeded(m_homes.size()))
        m_result = ClaimResult::Unknown;
    else
        m_result = ClaimResult::Run;
    return *m_result;
}

} // namespace nutmegplank::request::idempotency
