#pragma once

#include "version/journal/ijournal.h"

namespace nutmegplank::version::journal {

//! Tracks whether the log answers one reader and sets the timeout and back-off of its reads while
//! it does not. Logs each change.
//!
//! Callers that wait for an unreachable log give up after a second or two, so its recovery must be
//! detected within a fraction of that. While a caller waits, four reads out of five get a short
//! timeout; the fifth keeps the full one, since the log may be slow rather than unreachable. While
//! no caller waits, reads are rare, because each call has a cost.
class Reachability
{
public:
    explicit Reachability(Partition partition)
        : m_partition(std::move(partition))
    { }

    auto noteAnswer(base::TimePoint now) -> void;
    auto noteFailure(const absl::Status &status, base::TimePoint now) -> void;

    auto reachable() const -> bool { return m_reachable; }
    //! Time of the last answer; the epoch of the clock before the first one.
    auto answeredAt() const -> base::TimePoint { return m_answeredAt; }
    //! Time of the first answer after the last time without one.
    auto recoveredAt() const -> base::TimePoint { return m_recoveredAt; }
    //! Retries an unreachable log faster for a short time, because a caller is waiting for it.
    auto requestFastRetries(base::TimePoint now) -> void;
    //! Delay before the next read after a failed one.
    auto backOff(base::TimePoint now) const -> base::Duration;
    //! Time limits of the next read; \a wait is the long-poll time used while the log is reachable.
    auto nextRead(base::Duration wait, base::TimePoint now) -> ReadTimes;

private:
    Partition m_partition;
    base::TimePoint m_answeredAt {};
    base::TimePoint m_recoveredAt {};
    base::TimePoint m_fastRetryUntil {};
    base::Duration m_backOff { 0 };
    std::uint32_t m_fastRetryReads = 0;
    bool m_reachable = false;
};

} // namespace nutmegplank::version::journal
