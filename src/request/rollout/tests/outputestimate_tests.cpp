#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "request/rollout/outputestimate.h"

using namespace nutmegplank::request::rollout;

TEST(OutputEstimate, OutputEstimate_CallerEstimate_DecreasesWithEvents)
{
    EXPECT_EQ(expectedRemainingTokens({ 1000, 4000, 0, 40 }), 1000U);
    EXPECT_EQ(expectedRemainingTokens({ 1000, 4000, 10, 40 }), 600U);
}

TEST(OutputEstimate, OutputEstimate_ExceededEstimate_AssumesHalfAsMuchAgain)
{
    EXPECT_EQ(expectedRemainingTokens({ 1000, 40000, 50, 40 }), 1000U);
}

TEST(OutputEstimate, OutputEstimate_NoLimit_KeepsTheCallerEstimate)
{
    EXPECT_EQ(expectedRemainingTokens({ 1000, 0, 0, 40 }), 1000U);
}

RC_GTEST_PROP(OutputEstimate, OutputEstimate_AnyInput_IsAtLeastOneEventAndAtMostTheLimit, ())
{
    auto input = OutputEstimateInput();
    input.callerEstimate = *rc::gen::inRange<std::uint64_t>(0, 20000);
    input.maxTokens = *rc::gen::inRange<std::uint64_t>(1, 20000);
    input.producedEvents = *rc::gen::inRange<std::uint32_t>(0, 500);
    input.tokensPerEvent = *rc::gen::inRange<std::uint32_t>(0, 60);
    const auto perEvent = std::max<std::uint64_t>(1, input.tokensPerEvent);
    const auto remainingTokens = expectedRemainingTokens(input);
    RC_ASSERT(remainingTokens >= perEvent);
    RC_ASSERT(remainingTokens <= std::max(input.maxTokens, perEvent));
}
