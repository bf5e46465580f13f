#include "version/command/claimturn.h"

namespace nutmegplank::version::command {

namespace {

constexpr auto RANKS_PER_TERM = 2;

} // namespace

ClaimTurn::ClaimTurn(lease::LeaseTimes times)
    : m_times(times)
{ }

auto ClaimTurn::mayClaim(const std::function<std::size_t()> &rankOf, const state::LeaseState *lease,
                         base::TimePoint now) -> bool
{
    const auto offset = lease == nullptr ? 0 : lease->lastRenewalOffset;
    const auto held = lease != nullptr && !lease->holder.empty();
    if (m_lastOffset != offset || m_held != held) {
        m_lastOffset = offset;
        m_held = held;
        m_since = now;
    }
    if (held && now - m_since < m_times.term)
        return false;
    const auto rank = rankOf();
    if (rank == 0)
        return true;
    const auto freeAfter = held ? m_times.claimAfter : base::Duration();
    return now - m_since >= freeAfter + m_times.term * rank / RANKS_PER_TERM;
}

} // namespace nutmegplank::version::command
