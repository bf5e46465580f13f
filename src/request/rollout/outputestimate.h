#pragma once

#include <cstdint>

namespace nutmegplank::request::rollout {

//! Assumed whole output if the caller gives no estimate.
constexpr auto DEFAULT_OUTPUT_TOKENS = std::uint64_t(256);

//! Inputs for estimating an item's output, in tokens except \a producedEvents.
struct OutputEstimateInput
{
    std::uint64_t callerEstimate = 0; //!< Caller's estimate of the whole output; 0 if not given.
    std::uint64_t maxTokens = 0;      //!< Limit of the whole output; 0 if there is none.
    std::uint32_t producedEvents = 0; //!< Events received so far.
    std::uint32_t tokensPerEvent = 1;
};

//! Estimated output tokens still to be generated. At least the tokens of one event, since the item
//! is not complete.
auto expectedRemainingTokens(const OutputEstimateInput &input) -> std::uint64_t;

} // namespace nutmegplank::request::rollout
