#include "version/lease/internal/leasemachine.h"

namespace nutmegplank::version::lease {

namespace {

constexpr auto RENEWALS_PER_TERM = 3;
constexpr auto MARGIN_DIVISOR = 4;

} // namespace

auto deriveLeaseTimes(base::Duration term) -> LeaseTimes
{
    return LeaseTimes { term, term / RENEWALS_PER_TERM, term + term / MARGIN_DIVISOR };
}

LeaseMachine::LeaseMachine(std::string scope, std::string holder, LeaseTimes times)
    : m_scope(std::move(scope))
    , m_holder(std::move(holder))
    , m_times(times)
{ }

auto LeaseMachine::observe(const state::LeaseState *state, base::TimePoint now) -> void
{
    const auto seen = state == nullptr ? state::LeaseState() : *state;
    const auto isNew = !m_observed || seen.lastRenewalOffset > m_seen.lastRenewalOffset;
    m_observed = true;
    if (!isNew)
        return;
    m_seen = seen;
    m_seenAt = now;
    if (!isOwn())
        return;
    const auto sent = m_sent.find(m_seen.lastRenewalId);
    if (sent != m_sent.end())
        m_validUntil = std::max(m_validUntil, sent->second + m_times.term);
}

auto LeaseMachine::next(base::TimePoint now, bool preferred, std::string recordId)
    -> std::optional<LeaseAction>
{
    if (m_released || !m_observed)
        return std::nullopt;
    if (m_lastAttempt && now - *m_lastAttempt < m_times.renewEvery)
        return std::nullopt;
    auto action = LeaseAction();
    action.recordId = std::move(recordId);
    if (isOwn()) {
        action.kind = LeaseActionKind::Renew;
        action.fencingNumber = m_seen.fencingNumber;
    } else {
        // The term in the record counts when it is longer than this process's own.
        const auto recorded = deriveLeaseTimes(m_seen.term).claimAfter;
        const auto isFree =
            m_seen.holder.empty() || now - m_seenAt >= std::max(m_times.claimAfter, recorded);
        if (!isFree || !preferred)
            return std::nullopt;
        action.supersedes = m_seen.lastRenewalOffset;
    }
    pruneSent(now);
    m_sent[action.recordId] = now;
    m_lastAttempt = now;
    return action;
}

auto LeaseMachine::fencingNumber(base::TimePoint now) const -> std::optional<std::uint64_t>
{
    if (m_released || !isOwn() || now >= m_validUntil)
        return std::nullopt;
    return m_seen.fencingNumber;
}

auto LeaseMachine::release() -> std::optional<std::uint64_t>
{
    m_released = true;
    if (!isOwn())
        return std::nullopt;
    return m_seen.fencingNumber;
}

auto LeaseMachine::pruneSent(base::TimePoint now) -> void
{
    std::erase_if(m_sent,
                  [this, now](const auto &entry) { return now - entry.second >= m_times.term; });
}

} // namespace nutmegplank::version::lease
