// An item is given up only after its scorer has reported as many internal errors as the route
// allows; a server that loses responses, is full or is gone must never cost an item.
#include <gtest/gtest.h>

#include "request/scoring/scoringdecision.h"

using namespace nutmegplank::request::scoring;
using namespace nutmegplank;
using namespace std::chrono_literals;

TEST(ScoringDecision, ScoringDecision_ServerErrors_FinishAsLostAtMaxAttempts)
{
    auto failures = CallFailures();
    for (auto error = 0; error < 3; ++error)
        EXPECT_EQ(decideAfterCall(CallEnd::Failed, 4, failures).step, ScoringStep::Retry);
    EXPECT_EQ(decideAfterCall(CallEnd::Failed, 4, failures).step, ScoringStep::FinishLost);
}

TEST(ScoringDecision, ScoringDecision_OtherFailures_RetryForever)
{
    auto failures = CallFailures();
    for (auto round = 0; round < 50; ++round) {
        for (const auto end : { CallEnd::Lost, CallEnd::NotRun, CallEnd::WrongServer,
                                CallEnd::Unreachable, CallEnd::Cancelled })
            EXPECT_EQ(decideAfterCall(end, 1, failures).step, ScoringStep::Retry);
    }
    EXPECT_EQ(failures.serverErrors, 0U);
}

TEST(ScoringDecision, ScoringDecision_FullServer_IsNotAskedAgainAtOnce)
{
    auto failures = CallFailures();
    const auto decision = decideAfterCall(CallEnd::NotRun, 4, failures);
    EXPECT_GT(decision.retryDelay, base::Duration(0));
    EXPECT_TRUE(decision.avoidServer);
}

TEST(ScoringDecision, ScoringDecision_TimeLimit_GrowsWithLostCallsUpToTheRoutes)
{
    EXPECT_EQ(callTimeLimit(400ms, 2s, 0), base::Duration(800ms));
    EXPECT_EQ(callTimeLimit(400ms, 2s, 1), base::Duration(1600ms));
    EXPECT_EQ(callTimeLimit(400ms, 2s, 9), base::Duration(2s));
    EXPECT_EQ(callTimeLimit(20ms, 2s, 0), base::Duration(500ms));
}
