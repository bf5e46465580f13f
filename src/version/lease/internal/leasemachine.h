#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "version/lease/ilease.h"

namespace nutmegplank::version::lease {

enum class LeaseActionKind {
    Claim,
    Renew,
};

//! A record that the caller must append to the log.
struct LeaseAction
{
    LeaseActionKind kind = LeaseActionKind::Claim;
    std::string recordId;
    std::uint64_t supersedes = 0;    //!< For claims: lastRenewalOffset as last observed.
    std::uint64_t fencingNumber = 0; //!< For renewals.
};

//! State machine that decides when to claim and renew, and whether this process holds the lease;
//! does no I/O. The holder measures its term from before it sent a renewal, and the renewal counts
//! only once it has been read back. A claimant measures from when it read the last renewal and adds
//! a margin. Two processes whose clocks run at nearly the same rate therefore never both believe
//! that they hold the lease, regardless of lost or late messages and of suspended processes. Clock
//! readings are never compared between processes.
class LeaseMachine
{
public:
    LeaseMachine(std::string scope, std::string holder, LeaseTimes times);

    //! Updates from the scope's \a state as read at \a now; null if the scope was never claimed.
    auto observe(const state::LeaseState *state, base::TimePoint now) -> void;
    //! The record to append at \a now under \a recordId, if any. The term is measured from \a now.
    auto next(base::TimePoint now, bool preferred, std::string recordId)
        -> std::optional<LeaseAction>;
    //! The fencing number while this process holds the lease.
    auto fencingNumber(base::TimePoint now) const -> std::optional<std::uint64_t>;
    //! Stops all claims and renewals. Returns the fencing number to release, if this process is the
    //! holder.
    auto release() -> std::optional<std::uint64_t>;

private:
    auto isHolder() const -> bool { return m_lease.holder == m_holder; }
    auto removeExpiredSendTimes(base::TimePoint now) -> void;

    std::string m_scope;
    std::string m_holder;
    LeaseTimes m_times;
    state::LeaseState m_lease;
    base::TimePoint m_leaseChangedAt {}; //!< Time when the newest claim or renewal was read.
    bool m_hasObserved = false;          //!< observe() was called at least once.
    std::map<std::string, base::TimePoint> m_sentAt; //!< Send times of own records by id.
    std::optional<base::TimePoint> m_lastAttempt;
    base::TimePoint m_validUntil {};
    bool m_released = false;
};

} // namespace nutmegplank::version::lease
