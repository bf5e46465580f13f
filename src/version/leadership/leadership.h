#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "base/timepoint.h"
#include "version/journal/ijournal.h"
#include "version/records/records.pb.h"

//! Leader election: decides which process holds the lease for work that only one process may do,
//! that is orders to backend servers, running batches, usage windows and scaling.
namespace nutmegplank::version::leadership {

//! Timing of the lease; all values follow from the term.
struct LeaseTimes
{
    //! Validity of a claim or renewal, measured by the holder.
    base::Duration term = std::chrono::milliseconds(1500);
    base::Duration renewEvery = std::chrono::milliseconds(400); //!< Allows three attempts per term.
    //! Measured by a claimant from when it read the last renewal: the term plus a margin for the
    //! log's response time.
    base::Duration claimAfter = std::chrono::milliseconds(1900);
    //! Additional time this process waits before it claims a free lease, so that other processes
    //! can claim it first.
    base::Duration claimDelay { 0 };
    //! After the log was unavailable, the holder has this long to renew before another process
    //! claims. Allows for a read that began before the log's return and for one append.
    base::Duration recoveryGrace = std::chrono::milliseconds(900);
    //! A machine whose lease another one has taken over does not claim it for this long. Needed if
    //! peers do not check fencing numbers: they would see holders act by turns.
    base::Duration pauseAfterLoss { 0 };
    //! A call to a peer that does not check fencing numbers has ended this long before the term
    //! does. Covers the delay of the network; claimAfter adds the same again and more.
    base::Duration uncheckedCallMargin = std::chrono::milliseconds(100);
    //! Additional time that a process waits for a released lease if it has run for as long as the
    //! process that released it. In a rolling restart processes that were restarted already take
    //! the lease; the others would be stopped next and pass it on again.
    base::Duration notRestartedDelay = std::chrono::milliseconds(150);
    //! Maximum age of the log's last answer for a claim; otherwise the claimant's view may be
    //! stale.
    base::Duration maxLogAnswerAge = std::chrono::milliseconds(1300);
};

//! A process that takes part in the election. A machine runs one process at a time.
struct Candidate
{
    std::string process; //!< Unique for each incarnation.
    std::string machine;
    base::TimePoint startedAt {};
};

//! When this process was last in contact with the log.
struct LogContact
{
    base::TimePoint answeredAt {};  //!< The log's last answer to a read of the lease.
    base::TimePoint recoveredAt {}; //!< Its first answer after it was last unavailable.
};

//! A record that the caller must append to the log.
struct LeaseAction
{
    record::LeaseRecord record;
    //! Set for claims: append only if the log still ends at this offset.
    std::optional<std::uint64_t> at;
};

//! State of the lease, built by replaying its log records; does no I/O. A claim is valid if it was
//! appended at the offset where its writer saw the log end; its offset plus one is the fencing
//! number. The holder measures its term from before it sent a renewal, and the renewal counts only
//! once the holder has read it back from the log. The lease is free after a release or after the
//! holder has been silent for LeaseTimes::claimAfter, of which LeaseTimes::recoveryGrace with the
//! log available: after an outage of the log the holder keeps the lease, and with it its work. It
//! is free immediately for a new process on the holder's machine, because the holder has certainly
//! terminated.
class Leadership
{
public:
    Leadership(Candidate self, LeaseTimes times);

    auto apply(const journal::Record &record, base::TimePoint now) -> void;
    //! The record to append now, if any.
    auto next(base::TimePoint now, const LogContact &contact, bool mayClaim)
        -> std::optional<LeaseAction>;
    //! The fencing number while this process holds a valid lease. Call it right before each order.
    auto fence(base::TimePoint now) const -> std::optional<std::uint64_t>;
    //! Time by which a call to a peer that does not check fencing numbers must have ended; nullopt
    //! if it must not begin. Call it right before the bytes are written.
    auto uncheckedCallLimit(base::TimePoint now) const -> std::optional<base::TimePoint>;
    //! The fencing number of this process until another process claims the lease, even if its term
    //! has expired because the log is unavailable. Sufficient to continue work in progress.
    auto uncontestedFence() const -> std::optional<std::uint64_t>;
    //! A release record to append if this process holds the lease. This process no longer takes
    //! part in the election afterwards.
    auto release(base::TimePoint now) -> std::optional<LeaseAction>;

    auto holder() const -> const std::string & { return m_holder; }

private:
    auto noteHolderMachine(const std::string &machine, base::TimePoint now) -> void;
    auto claimDelay(base::TimePoint now) const -> base::Duration;
    auto makeRecord(record::LeaseRecordKind kind) -> record::LeaseRecord;

    Candidate m_self;
    LeaseTimes m_times;
    std::string m_holder;        //!< Current holder; empty if there is none.
    std::string m_holderMachine; //!< Kept after a release.
    std::uint64_t m_holderFence = 0;
    std::uint64_t m_logEnd = 0;                      //!< Offset after the last record read.
    base::TimePoint m_lastRecordAt {};               //!< Time when the last valid record was read.
    std::map<std::string, base::TimePoint> m_sentAt; //!< Send times of own records by id.
    std::uint64_t m_lastRecordNumber = 0;
    base::TimePoint m_lastAttempt {};
    std::optional<base::TimePoint> m_freeSince; //!< Time since which the lease is known to be free.
    base::TimePoint m_validUntil {};
    //! Time when another machine was seen to take the lease over from this one.
    std::optional<base::TimePoint> m_lostAt;
    //! Uptime of the process that released the lease; 0 if it was not released.
    base::Duration m_releaserUptime { 0 };
    bool m_released = false;
};

} // namespace nutmegplank::version::leadership
