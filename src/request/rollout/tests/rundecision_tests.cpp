#include <gtest/gtest.h>

#include "request/rollout/rundecision.h"

using namespace nutmegplank::request::rollout;
using namespace std::chrono_literals;

TEST(RunDecision, RunDecision_EngineFailures_FinishAsLostAtMaxAttempts)
{
    auto failureCounts = FailureCounts();
    EXPECT_EQ(decideNextStep(RunEnd::Failed, 2, failureCounts).step, NextStep::Retry);
    EXPECT_EQ(decideNextStep(RunEnd::Failed, 2, failureCounts).step, NextStep::FinishLost);
}

//! An item that was under many crashes used to wait for 4 s after each further one.
TEST(RunDecision, RunDecision_LostConnections_RetryForeverWithGrowingDelay)
{
    auto failureCounts = FailureCounts();
    auto previousDelay = nutmegplank::base::Duration(0);
    for (auto loss = 0; loss < 20; ++loss) {
        const auto decision = decideNextStep(RunEnd::Broken, 2, failureCounts);
        EXPECT_EQ(decision.step, NextStep::Retry);
        EXPECT_GE(decision.retryDelay, previousDelay);
        EXPECT_TRUE(decision.avoidEngine);
        EXPECT_FALSE(decision.discardText);
        previousDelay = decision.retryDelay;
    }
    EXPECT_EQ(previousDelay, 500ms);
    EXPECT_EQ(failureCounts.engineFailures, 0U);
}

TEST(RunDecision, RunDecision_InvalidResponse_DiscardsTheText)
{
    auto failureCounts = FailureCounts();
    EXPECT_TRUE(decideNextStep(RunEnd::Malformed, 2, failureCounts).discardText);
    EXPECT_TRUE(decideNextStep(RunEnd::Outdated, 2, failureCounts).discardText);
}

TEST(RunDecision, RunDecision_NotRun_CountsNoFailure)
{
    auto failureCounts = FailureCounts();
    for (const auto end : { RunEnd::NotRun, RunEnd::WrongServer, RunEnd::Unreachable,
                            RunEnd::Foreign, RunEnd::Cancelled })
        EXPECT_EQ(decideNextStep(end, 1, failureCounts).step, NextStep::Retry);
    EXPECT_EQ(failureCounts.engineFailures + failureCounts.connectionLosses, 0U);
}

//! An answer without end is no failure that the engine reports: the item is still owed.
TEST(RunDecision, RunDecision_OversizedText_IsRetriedElsewhereForEverFromItsBeginning)
{
    auto failureCounts = FailureCounts();
    for (auto run = 0; run < 20; ++run) {
        const auto decision = decideNextStep(RunEnd::Oversized, 2, failureCounts);
        EXPECT_EQ(decision.step, NextStep::Retry);
        EXPECT_TRUE(decision.avoidEngine);
        EXPECT_TRUE(decision.discardText);
        EXPECT_GT(decision.retryDelay, 0ms);
        EXPECT_LE(decision.retryDelay, 500ms);
    }
    EXPECT_EQ(failureCounts.engineFailures, 0U);
}

//! An engine's 4xx to an item counted as the engine's loss, and the item was sent again at once.
TEST(RunDecision, RunDecision_FaultedItem_IsRetriedLaterAndLaterElsewhere)
{
    auto failureCounts = FailureCounts();
    auto longest = nutmegplank::base::Duration(0);
    for (auto run = 0; run < 20; ++run) {
        const auto decision = decideNextStep(RunEnd::Rejected, 2, failureCounts);
        EXPECT_EQ(decision.step, NextStep::Retry);
        EXPECT_TRUE(decision.avoidEngine);
        EXPECT_FALSE(decision.discardText);
        EXPECT_GE(decision.retryDelay, longest);
        longest = decision.retryDelay;
    }
    // An item that is at no server for 5 s counts as left alone.
    EXPECT_GE(longest, 2s);
    EXPECT_LT(longest, 5s);
}
