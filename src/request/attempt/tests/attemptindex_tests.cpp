#include <gtest/gtest.h>

#include "request/attempt/attemptindex.h"

using namespace nutmegplank;
using namespace nutmegplank::request::attempt;

namespace {

constexpr auto MEMORY = std::chrono::minutes(1);
constexpr auto START = base::TimePoint(std::chrono::seconds(100));
constexpr auto LATER = START + MEMORY;

} // namespace

TEST(AttemptIndex, AttemptIndex_CancelBeforeSubmit_RunsNothing)
{
    auto index = AttemptIndex(MEMORY, START);
    EXPECT_EQ(index.cancel("a", LATER).ran, wire::RAN_NOT_RUN);
    EXPECT_FALSE(index.begin("a", "s/0", LATER));
}

TEST(AttemptIndex, AttemptIndex_YoungProcess_DoesNotSayNotRun)
{
    auto index = AttemptIndex(MEMORY, START);
    EXPECT_EQ(index.cancel("a", START).ran, wire::RAN_UNKNOWN);
    EXPECT_EQ(index.cancel("a", LATER).ran, wire::RAN_UNKNOWN);
}

TEST(AttemptIndex, AttemptIndex_EndedAttempt_IsRememberedAsItEnded)
{
    auto index = AttemptIndex(MEMORY, START);
    EXPECT_TRUE(index.begin("a", "s/0", LATER));
    EXPECT_FALSE(index.begin("a", "s/0", LATER));
    EXPECT_EQ(index.cancel("a", LATER).shard, "s/0");
    index.end("a", wire::RAN_UNKNOWN, LATER);
    EXPECT_EQ(index.liveCount(), 0U);
    EXPECT_EQ(index.cancel("a", LATER).ran, wire::RAN_UNKNOWN);
    EXPECT_FALSE(index.begin("a", "s/0", LATER));
}
