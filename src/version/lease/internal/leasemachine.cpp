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
    const auto observed = state == nullptr ? state::LeaseState() : *state;
    const auto isNew = !m_hasObserved || observed.lastRenewalOffset > m_lease.lastRenewalOffset;
    m_hasObserved = true;
    if (!isNew)
        return;
    m_lease = observed;
    m_leaseChangedAt = now;
    if (!isHolder())
        return;
    const auto sent = m_sentAt.find(m_lease.lastRenewalId);
    if (sent != m_sentAt.end())
        m_validUntil = std::max(m_validUntil, sent->second + m_times.term);
}

auto LeaseMachine::next(base::TimePoint now, bool preferred, std::string recordId)
    -> std::optional<LeaseAction>
{
    if (m_released || !m_hasObserved)
        return std::nullopt;
    if (m_lastAttempt && now - *m_lastAttempt < m_times.renewEvery)
        return std::nullopt;
    auto action = LeaseAction();
    action.recordId = std::move(recordId);
    if (isHolder()) {
        action.kind = LeaseActionKind::Renew;
        action.fencingNumber = m_lease.fencingNumber;
    } else {
        // If the recorded term is longer than this process's own term, the recorded one applies.
        const auto recordedClaimAfter = deriveLeaseTimes(m_lease.term).claimAfter;
        const auto isFree = m_lease.holder.empty()
            || now - m_leaseChangedAt >= std::max(m_times.claimAfter, recordedClaimAfter);
        if (!isFree || !preferred)
            return std::nullopt;
        action.supersedes = m_lease.lastRenewalOffset;
    }
    removeExpiredSendTimes(now);
    m_sentAt[action.recordId] = now;
    m_lastAttempt = now;
    return action;
}

auto LeaseMachine::fencingNumber(base::TimePoint now) const -> std::optional<std::uint64_t>
{
    if (m_released || !isHolder() || now >= m_validUntil)
        return std::nullopt;
    return m_lease.fencingNumber;
}

auto LeaseMachine::release() -> std::optional<std::uint64_t>
{
    m_released = true;
    if (!isHolder())
        return std::nullopt;
    return m_lease.fencingNumber;
}

auto LeaseMachine::removeExpiredSendTimes(base::TimePoint now) -> void
{
    std::erase_if(m_sentAt,
                  [this, now](const auto &entry) { return now - entry.second >= m_times.term; });
}

} // namespace nutmegplank::version::lease
