#pragma once

#include <string_view>

#include "request/rollout/itemrun.h"

namespace nutmegplank::request::rollout {

//! How often the runs of an item have failed.
struct FailureCounts
{
    std::uint32_t engineFailures = 0;   //!< The engine ran the item and returned an error.
    std::uint32_t connectionLosses = 0; //!< The connection was lost during the run.
    std::uint32_t oversizedTexts = 0;   //!< The engine sent more text than the item may have.
    std::uint32_t rejections = 0;       //!< The engine faulted the item.
};

enum class NextStep {
    Retry,
    FinishCompleted,
    FinishLost,
};

//! How to continue after a run.
struct RunDecision
{
    NextStep step = NextStep::Retry;
    std::string_view reason;         //!< For logs, if the item is finished.
    base::Duration retryDelay { 0 }; //!< Before the next run.
    bool avoidEngine = false;        //!< The next run should prefer another engine.
    bool discardText = false;        //!< The text received so far is invalid.
};

//! Decides whether an item is finished or run again. Only engine failures count towards
//! \a maxAttempts: an item is given up only if an engine that ran it reports the failure. Lost
//! connections and texts that are too large are retried without limit, with a delay that grows
//! fourfold up to half a second: an item under which engines crashed, or that one of them never
//! ends, is still owed. So is one that engines fault for another reason than that it can never be
//! run, with a longer delay: it takes a slot of an engine each time. Counts this run in \a
//! failureCounts.
auto decideNextStep(RunEnd end, std::uint32_t maxAttempts, FailureCounts &failureCounts)
    -> RunDecision;

} // namespace nutmegplank::request::rollout
