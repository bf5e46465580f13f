#include <gtest/gtest.h>

#include "request/attempt/attemptindex.h"

using namespace nutmegplank;
using namespace nutmegplank::request::attempt;

namespace {

constexpr auto RETENTION = std::chrono::minutes(1);
constexpr auto START = base::TimePoint(std::chrono::seconds(100));
constexpr auto AFTER_RETENTION = START + RETENTION;

} // namespace

TEST(AttemptIndex, AttemptIndex_CancelBeforeBegin_PreventsTheAttempt)
{
    auto index = AttemptIndex(RETENTION, START);
    EXPECT_EQ(index.cancel("a", AFTER_RETENTION).ran, wire::RAN_NOT_RUN);
    EXPECT_FALSE(index.begin("a", "s/0", AFTER_RETENTION));
}

TEST(AttemptIndex, AttemptIndex_ProcessYoungerThanRetention_AnswersUnknown)
{
    auto index = AttemptIndex(RETENTION, START);
    EXPECT_EQ(index.cancel("a", START).ran, wire::RAN_UNKNOWN);
    EXPECT_EQ(index.cancel("a", AFTER_RETENTION).ran, wire::RAN_UNKNOWN);
}

TEST(AttemptIndex, AttemptIndex_EndedAttempt_KeepsItsResult)
{
    auto index = AttemptIndex(RETENTION, START);
    EXPECT_TRUE(index.begin("a", "s/0", AFTER_RETENTION));
    EXPECT_FALSE(index.begin("a", "s/0", AFTER_RETENTION));
    EXPECT_EQ(index.cancel("a", AFTER_RETENTION).shard, "s/0");
    index.end("a", wire::RAN_UNKNOWN, AFTER_RETENTION);
    EXPECT_EQ(index.liveCount(), 0U);
    EXPECT_EQ(index.cancel("a", AFTER_RETENTION).ran, wire::RAN_UNKNOWN);
    EXPECT_FALSE(index.begin("a", "s/0", AFTER_RETENTION));
}
