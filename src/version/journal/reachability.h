#pragma once

#include "version/journal/ijournal.h"

namespace nutmegplank::version::journal {

//! What one reader knows about the log's answers; logs each loss and each return.
class Reachability
{
public:
    explicit Reachability(Partition partition)
        : m_partition(std::move(partition))
    { }

    auto noteAnswer(base::TimePoint now) -> void;
    auto noteSilence(const absl::Status &status, base::TimePoint now) -> void;

    auto reachable() const -> bool { return m_reachable; }
    //! When the log last answered; before the first answer the epoch of the clock.
    auto answeredAt() const -> base::TimePoint { return m_answeredAt; }
    //! When the log began to answer again after its last silence.
    auto regainedAt() const -> base::TimePoint { return m_regainedAt; }
    //! The pause before the next try.
    auto backOff() const -> base::Duration { return m_backOff; }

private:
    Partition m_partition;
    base::TimePoint m_answeredAt {};
    base::TimePoint m_regainedAt {};
    base::Duration m_backOff { 0 };
    bool m_reachable = false;
};

} // namespace nutmegplank::version::journal
