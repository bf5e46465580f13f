#include <gtest/gtest.h>

#include "process/health/serverhealth.h"

using namespace nutmegplank;
using namespace nutmegplank::process::health;
using namespace std::chrono_literals;

namespace {

const auto NOW = base::TimePoint(base::Duration(1h));
const auto RULE = ColdRule { 10.0, 3s };

} // namespace

TEST(ServerHealth, ServerHealth_ColdServer_GetsWhatItBearsInASecond)
{
    auto health = ServerHealth();
    const auto coldUntil = NOW + 3s;
    for (auto start = 0; start < 10; ++start) {
        EXPECT_GT(health.startsLeft("s", coldUntil, RULE, NOW), 0U);
        health.noteStart("s", NOW);
    }
    EXPECT_EQ(health.startsLeft("s", coldUntil, RULE, NOW), 0U);
    EXPECT_EQ(health.startsLeft("s", coldUntil, RULE, NOW + 900ms), 0U);
    EXPECT_EQ(health.startsLeft("s", coldUntil, RULE, NOW + 1200ms), 10U);
}

TEST(ServerHealth, ServerHealth_WarmServer_HasNoBound)
{
    auto health = ServerHealth();
    for (auto start = 0; start < 100; ++start)
        health.noteStart("s", NOW);
    EXPECT_GT(health.startsLeft("s", NOW - 1s, RULE, NOW), 100U);
}

TEST(ServerHealth, ServerHealth_LostServer_PausesLongerEachTimeAndComesBackCold)
{
    auto health = ServerHealth();
    health.noteLost("s", RULE, NOW);
    EXPECT_TRUE(health.paused("s", NOW + 200ms));
    EXPECT_FALSE(health.paused("s", NOW + 400ms));
    EXPECT_EQ(health.startsLeft("s", NOW - 1s, RULE, NOW + 400ms), 10U);
    health.noteLost("s", RULE, NOW + 400ms);
    EXPECT_TRUE(health.paused("s", NOW + 900ms));
    health.noteAnswer("s");
    EXPECT_FALSE(health.paused("s", NOW + 900ms));
}

//! Take-ups of streams were refused while servers broke off responses, though the servers were
//! sound.
TEST(ServerHealth, ServerHealth_BrokenResponse_DoesNotCountAsUnreachable)
{
    auto health = ServerHealth();
    health.noteLost("s", RULE, NOW);
    EXPECT_EQ(health.unreachableAt("s"), base::TimePoint());
    health.noteUnreachable("s", RULE, NOW + 1s);
    EXPECT_EQ(health.unreachableAt("s"), NOW + 1s);
    EXPECT_TRUE(health.paused("s", NOW + 1s));
}

TEST(ServerHealth, ServerHealth_ManyConnectionsLostAtOnce_AreOneLoss)
{
    auto health = ServerHealth();
    for (auto connection = 0; connection < 16; ++connection)
        health.noteLost("s", RULE, NOW);
    EXPECT_FALSE(health.paused("s", NOW + 400ms));
}

TEST(ServerHealth, ServerHealth_LimitedServer_GetsWhatItsLimitAndItsColdStartAllow)
{
    auto health = ServerHealth();
    health.limits().noteResponse("s", 40.0, NOW, NOW);
    EXPECT_EQ(health.startsLeft("s", {}, {}, NOW), 0U);
    EXPECT_EQ(health.startsLeft("s", {}, {}, NOW + 200ms), 8U);
    EXPECT_EQ(health.startsLeft("s", NOW + 3s, { 2.0, 3s }, NOW + 200ms), 2U);
    health.noteStart("s", NOW + 200ms);
    EXPECT_EQ(health.startsLeft("s", {}, {}, NOW + 200ms), 7U);
}

TEST(ServerHealth, ServerHealth_FullServer_RestsForAMoment)
{
    auto health = ServerHealth();
    health.noteFull("s", NOW);
    EXPECT_EQ(health.startsLeft("s", {}, {}, NOW + 10ms), 0U);
    EXPECT_GT(health.startsLeft("s", {}, {}, NOW + 100ms), 0U);
}
