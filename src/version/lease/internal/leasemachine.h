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

//! A record that the shell is to append.
struct LeaseAction
{
    LeaseActionKind kind = LeaseActionKind::Claim;
    std::string recordId;
    std::uint64_t supersedes = 0;    //!< Claims.
    std::uint64_t fencingNumber = 0; //!< Renewals.
};

//! Decides when to claim and renew and whether this process is in charge; does no I/O. A holder
//! counts its term from before it sent the renewal, and only once it has read it back; a claimant
//! counts from when it read the last renewal and adds a margin. So two processes whose clocks run
//! at nearly the same rate never both believe that they are in charge, whatever is lost, late or
//! paused. Readings of the clocks are never compared between processes.
class LeaseMachine
{
public:
    LeaseMachine(std::string scope, std::string holder, LeaseTimes times);

    //! Takes the scope's state as read at \a now; null when nobody ever claimed it.
    auto observe(const state::LeaseState *state, base::TimePoint now) -> void;
    //! What to append at \a now under \a recordId, if anything. The term counts from \a now.
    auto next(base::TimePoint now, bool preferred, std::string recordId)
        -> std::optional<LeaseAction>;
    //! The fencing number while this process is in charge.
    auto fencingNumber(base::TimePoint now) const -> std::optional<std::uint64_t>;
    //! No claims and renewals any more. Gives the fencing number to be released, if there is one.
    auto release() -> std::optional<std::uint64_t>;

private:
    auto isOwn() const -> bool { return m_seen.holder == m_holder; }
    auto pruneSent(base::TimePoint now) -> void;

    std::string m_scope;
    std::string m_holder;
    LeaseTimes m_times;
    state::LeaseState m_seen;
    base::TimePoint m_seenAt {};                   //!< When the newest claim or renewal was read.
    bool m_observed = false;                       //!< Something was read at all.
    std::map<std::string, base::TimePoint> m_sent; //!< Own records by id, with when they were sent.
    std::optional<base::TimePoint> m_lastAttempt;
    base::TimePoint m_validUntil {};
    bool m_released = false;
};

} // namespace nutmegplank::version::lease
