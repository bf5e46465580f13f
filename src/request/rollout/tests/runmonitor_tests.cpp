#include <gtest/gtest.h>

#include "request/rollout/engineloadtracker.h"
#include "request/rollout/runmonitor.h"

using namespace nutmegplank::request::rollout;
using namespace std::chrono_literals;

namespace {

auto longRunAtSlowEngine() -> MonitoredRun
{
    auto run = MonitoredRun();
    run.silence = 40ms;
    run.runTime = 1s;
    run.expectedTokens = 3000;
    run.slowdown = 4.0;
    return run;
}

} // namespace

TEST(RunMonitor, RunMonitor_SlowEngine_MovesLongItemsWhileMovesAreLeft)
{
    auto movesLeft = std::size_t(1);
    const auto termination = checkProgress(longRunAtSlowEngine(), movesLeft);
    ASSERT_TRUE(termination.has_value());
    EXPECT_EQ(termination->end, RunEnd::Cancelled);
    EXPECT_FALSE(checkProgress(longRunAtSlowEngine(), movesLeft).has_value());
}

TEST(RunMonitor, RunMonitor_LittleOutputLeft_StaysAtTheSlowEngine)
{
    auto movesLeft = std::size_t(1);
    auto run = longRunAtSlowEngine();
    run.expectedTokens = 100;
    EXPECT_FALSE(checkProgress(run, movesLeft).has_value());
    EXPECT_EQ(movesLeft, 1U);
}

TEST(RunMonitor, RunMonitor_SilentEngine_EndsTheRunWithoutUsingAMove)
{
    auto movesLeft = std::size_t(0);
    auto run = longRunAtSlowEngine();
    run.silence = 1400ms;
    const auto termination = checkProgress(run, movesLeft);
    ASSERT_TRUE(termination.has_value());
    EXPECT_EQ(termination->end, RunEnd::Broken);
}

TEST(RunMonitor, RunMonitor_LoadingWeights_HasALongerSilenceTimeout)
{
    auto movesLeft = std::size_t(5);
    auto run = longRunAtSlowEngine();
    run.loading = true;
    run.silence = 2s;
    EXPECT_FALSE(checkProgress(run, movesLeft).has_value());
    run.silence = 4s;
    EXPECT_TRUE(checkProgress(run, movesLeft).has_value());
}

TEST(EngineLoadTracker, EngineLoadTracker_SpareFastSlots_ExcludeSlowEnginesAndWaitingItems)
{
    auto fast = EngineLoad();
    fast.slots = 8;
    fast.running = 2;
    fast.startsLeft = 100;
    auto slow = fast;
    slow.slowdown = 2.0;
    EXPECT_EQ(countSpareFastSlots({ fast, slow }, 0), 6U);
    EXPECT_EQ(countSpareFastSlots({ fast, slow }, 4), 2U);
    EXPECT_EQ(countSpareFastSlots({ fast, slow }, 9), 0U);
}
