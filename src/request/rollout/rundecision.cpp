#include "request/rollout/rundecision.h"

#include <algorithm>

namespace nutmegplank::request::rollout {

namespace {

constexpr auto INITIAL_LOSS_DELAY = std::chrono::milliseconds(20);
//! Short beside the time in which the results of a batch are due.
constexpr auto MAX_LOSS_DELAY = std::chrono::milliseconds(500);
//! A faulted item is sent again before it counts as left alone, which it does after 5 s.
constexpr auto MAX_REJECTED_DELAY = std::chrono::milliseconds(4000);
//! Limits the shift; the delay reaches MAX_LOSS_DELAY before.
constexpr auto MAX_LOSS_EXPONENT = 5U;
//! About the time until a slot of a full engine becomes free.
constexpr auto REFUSED_DELAY = std::chrono::milliseconds(40);
constexpr auto FAILED_DELAY = std::chrono::milliseconds(30);

auto lossDelay(std::uint32_t earlierLosses, base::Duration longest = MAX_LOSS_DELAY)
    -> base::Duration
{
    const auto growth = 1 << (2 * std::min(earlierLosses, MAX_LOSS_EXPONENT));
    return std::min<base::Duration>(INITIAL_LOSS_DELAY * growth, longest);
}

} // namespace

auto decideNextStep(RunEnd end, std::uint32_t maxAttempts, FailureCounts &failureCounts)
    -> RunDecision
{
    switch (end) {
    case RunEnd::Completed:
        return { NextStep::FinishCompleted, "completed" };
    case RunEnd::Impossible:
        return { NextStep::FinishLost, "engine rejected the item" };
    case RunEnd::Failed:
        if (++failureCounts.engineFailures >= std::max(1U, maxAttempts))
            return { NextStep::FinishLost, "maximum number of failed attempts reached" };
        return { NextStep::Retry, {}, FAILED_DELAY, true };
    case RunEnd::Rejected:
        return {
            NextStep::Retry, {}, lossDelay(failureCounts.rejections++, MAX_REJECTED_DELAY), true
        };
    case RunEnd::Broken:
    case RunEnd::Unstamped:
        return { NextStep::Retry, {}, lossDelay(failureCounts.connectionLosses++), true };
    case RunEnd::Oversized:
        return { NextStep::Retry, {}, lossDelay(failureCounts.oversizedTexts++), true, true };
    case RunEnd::Malformed:
    case RunEnd::Outdated:
        return { NextStep::Retry, {}, base::Duration(0), true, true };
    case RunEnd::NotRun:
    case RunEnd::WrongServer:
    case RunEnd::Unreachable:
    case RunEnd::Foreign:
        return { NextStep::Retry, {}, REFUSED_DELAY };
    case RunEnd::Cancelled:
        return {};
    }
    return {};
}

} // namespace nutmegplank::request::rollout
