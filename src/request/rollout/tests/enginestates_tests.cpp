#include <gtest/gtest.h>

#include "request/rollout/enginestates.h"

using namespace nutmegplank::request::rollout;
using namespace std::chrono_literals;

TEST(EngineStates, EngineStates_Version_NeverDecreasesWithinAnIncarnation)
{
    auto states = EngineStates();
    states.noteVersion("e", 100, "m", 5);
    states.noteVersion("e", 100, "m", 4);
    EXPECT_EQ(states.version("e", 100, "m"), 5U);
    EXPECT_EQ(states.version("e", 200, "m"), 0U);
    states.noteVersion("e", 200, "m", 4);
    EXPECT_EQ(states.version("e", 200, "m"), 4U);
    states.noteVersion("e", 100, "m", 9);
    EXPECT_EQ(states.version("e", 200, "m"), 4U);
}

TEST(EngineStates, EngineStates_SlowEngine_HasHighSlowdown)
{
    auto states = EngineStates();
    for (auto round = 0; round < 30; ++round) {
        for (const auto *engine : { "a", "b", "c" })
            states.noteEventInterval(engine, 40ms, 8);
        states.noteEventInterval("slow", 160ms, 8);
    }
    states.updateMedian();
    EXPECT_NEAR(states.slowdown("a"), 1.0, 0.05);
    EXPECT_NEAR(states.slowdown("slow"), 4.0, 0.3);
    EXPECT_EQ(states.slowdown("unknown"), 1.0);
}
