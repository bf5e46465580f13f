#include "request/rollout/outputestimate.h"

#include <algorithm>

namespace nutmegplank::request::rollout {

auto expectedRemainingTokens(const OutputEstimateInput &input) -> std::uint64_t
{
    const auto perEvent = std::uint64_t(std::max(1U, input.tokensPerEvent));
    const auto producedTokens = input.producedEvents * perEvent;
    const auto callerEstimate =
        input.callerEstimate > 0 ? input.callerEstimate : DEFAULT_OUTPUT_TOKENS;
    // An item that has exceeded its estimate is assumed to be long: half of what it has produced
    // remains.
    const auto remainingTokens =
        callerEstimate > producedTokens ? callerEstimate - producedTokens : producedTokens / 2;
    if (input.maxTokens == 0)
        return std::max(remainingTokens, perEvent);
    const auto maxRemaining =
        input.maxTokens > producedTokens ? input.maxTokens - producedTokens : perEvent;
    return std::clamp(remainingTokens, perEvent, std::max(maxRemaining, perEvent));
}

} // namespace nutmegplank::request::rollout
