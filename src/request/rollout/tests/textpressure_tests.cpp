#include <gtest/gtest.h>

#include "request/rollout/textpressure.h"

using namespace nutmegplank::request::rollout;

TEST(TextPressure, TextPressure_TextsWithinTheBudget_Stay)
{
    EXPECT_TRUE(chooseTextsToDiscard({ { 0, 60 }, { 1, 40 } }, 100).empty());
}

TEST(TextPressure, TextPressure_OverTheBudget_LargestGoFirstAndNoMoreThanNeeded)
{
    const auto discarded = chooseTextsToDiscard({ { 0, 10 }, { 1, 70 }, { 2, 30 }, { 3, 50 } }, 90);
    EXPECT_EQ(discarded, (std::vector<std::size_t> { 1 }));
    const auto more = chooseTextsToDiscard({ { 0, 10 }, { 1, 70 }, { 2, 30 }, { 3, 50 } }, 40);
    EXPECT_EQ(more, (std::vector<std::size_t> { 1, 3 }));
}

TEST(TextPressure, TextPressure_CompleteTexts_StayAndCount)
{
    const auto discarded = chooseTextsToDiscard({ { 0, 80, true }, { 1, 10 }, { 2, 20 } }, 100);
    EXPECT_EQ(discarded, (std::vector<std::size_t> { 2 }));
}

TEST(TextPressure, TextPressure_Budget_FollowsTheMemoryOfTheProcess)
{
    EXPECT_EQ(textBudgetOf(160'000'000), 20'000'000U);
    EXPECT_EQ(textBudgetOf(0), 32U * 1024 * 1024);
}

TEST(TextPressure, TextPressure_UnwrittenResults_HoldBackRunsAtHalfTheBudget)
{
    EXPECT_TRUE(mayStartRuns(50, 100));
    EXPECT_FALSE(mayStartRuns(51, 100));
}
