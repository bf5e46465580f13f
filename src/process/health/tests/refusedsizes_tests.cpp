#include <gtest/gtest.h>

#include "process/health/serverhealth.h"

using namespace nutmegplank;
using namespace nutmegplank::process::health;
using namespace std::chrono_literals;

namespace {

const auto NOW = base::TimePoint(base::Duration(1h));
constexpr auto SMALL = RequestSize { 271, 521, 0 };
constexpr auto LARGE = RequestSize { 59'800, 60'000, 0 };

} // namespace

//! Items that were larger than an engine's memory kept the engine from all others (review/13).
TEST(RefusedSizes, RefusedSizes_LargeRequestRefused_SmallOnesAreStillSent)
{
    auto health = ServerHealth();
    health.noteTaken("e", SMALL);
    health.noteRefused("e", LARGE, NOW, NOW);
    EXPECT_GT(health.startsLeft("e", {}, {}, NOW), 0U);
    EXPECT_TRUE(health.mayTake("e", SMALL, NOW));
    EXPECT_FALSE(health.mayTake("e", LARGE, NOW));
}

TEST(RefusedSizes, RefusedSizes_FirstRequestRefused_SmallerOnesAreStillSent)
{
    auto health = ServerHealth();
    health.noteRefused("e", LARGE, NOW, NOW);
    EXPECT_TRUE(health.mayTake("e", SMALL, NOW));
    EXPECT_GT(health.startsLeft("e", {}, {}, NOW), 0U);
}

TEST(RefusedSizes, RefusedSizes_SizeThatWasTakenRefused_ServerIsFull)
{
    auto health = ServerHealth();
    health.noteTaken("e", LARGE);
    health.noteRefused("e", SMALL, NOW, NOW);
    EXPECT_EQ(health.startsLeft("e", {}, {}, NOW + 10ms), 0U);
    EXPECT_GT(health.startsLeft("e", {}, {}, NOW + 100ms), 0U);
}

TEST(RefusedSizes, RefusedSizes_RefusedAgainAndAgain_IsAskedLessAndLessOften)
{
    auto sizes = RefusedSizes();
    auto now = NOW;
    auto pauses = std::vector<base::Duration>();
    for (auto round = 0; round < 8; ++round) {
        sizes.noteRefused("e", LARGE, now, now);
        const auto refusedAt = now;
        while (!sizes.refused("e", now).empty())
            now += 10ms;
        pauses.push_back(now - refusedAt);
    }
    EXPECT_EQ(pauses.front(), 60ms);
    EXPECT_EQ(pauses.back(), 2s);
    EXPECT_TRUE(std::ranges::is_sorted(pauses));
}

TEST(RefusedSizes, RefusedSizes_RequestsUnderWayTogether_CountOnce)
{
    auto sizes = RefusedSizes();
    for (auto request = 0; request < 16; ++request)
        sizes.noteRefused("e", LARGE, NOW, NOW + 1ms);
    EXPECT_TRUE(sizes.refused("e", NOW + 100ms).empty());
}

TEST(RefusedSizes, RefusedSizes_LargeRequestTaken_NoSizeIsHeldBack)
{
    auto health = ServerHealth();
    health.noteRefused("e", LARGE, NOW, NOW);
    health.noteTaken("e", LARGE);
    EXPECT_TRUE(health.mayTake("e", LARGE, NOW));
}

//! Two large items of different sizes must not count as a server that is full for both.
TEST(RefusedSizes, RefusedSizes_SeveralLargeRequestsRefused_SmallOnesAreStillSent)
{
    auto health = ServerHealth();
    health.noteTaken("e", SMALL);
    for (auto round = 0; round < 20; ++round) {
        const auto now = NOW + round * 30ms;
        health.noteRefused("e", RequestSize { 50'000U + round % 3, 50'200, 0 }, now, now + 1ms);
        EXPECT_TRUE(health.mayTake("e", SMALL, now + 1ms));
        EXPECT_GT(health.startsLeft("e", {}, {}, now + 1ms), 0U);
    }
}

//! A text that has outgrown an engine's memory says nothing of items with longer outputs to come.
TEST(RefusedSizes, RefusedSizes_LongContextRefused_LongOutputsAreStillSent)
{
    auto health = ServerHealth();
    const auto outgrown = RequestSize { 39'500, 39'600, 0 };
    const auto longOutput = RequestSize { 300, 39'900, 0 };
    health.noteTaken("e", RequestSize { 300, 39'600, 0 });
    health.noteRefused("e", outgrown, NOW, NOW);
    EXPECT_FALSE(health.mayTake("e", outgrown, NOW));
    EXPECT_TRUE(health.mayTake("e", longOutput, NOW));
    health.noteRefused("e", LARGE, NOW, NOW);
    EXPECT_FALSE(health.mayTake("e", outgrown, NOW));
    EXPECT_TRUE(health.mayTake("e", longOutput, NOW));
}

TEST(RefusedSizes, RefusedSizes_RequestsWithoutTokens_AreToldApartByTheirBodies)
{
    auto health = ServerHealth();
    health.noteTaken("s", RequestSize { 0, 0, 100 });
    health.noteRefused("s", RequestSize { 0, 0, 100'000 }, NOW, NOW);
    EXPECT_TRUE(health.mayTake("s", RequestSize { 0, 0, 100 }, NOW));
    EXPECT_FALSE(health.mayTake("s", RequestSize { 0, 0, 200'000 }, NOW));
    health.noteRefused("s", RequestSize { 0, 0, 100 }, NOW, NOW);
    EXPECT_EQ(health.startsLeft("s", {}, {}, NOW + 10ms), 0U);
}

TEST(RefusedSizes, RefusedSizes_AnotherProcessOfTheServer_KnowsNothingOfBefore)
{
    auto health = ServerHealth();
    health.noteTaken("e", LARGE);
    health.forgetSizes("e");
    health.noteRefused("e", LARGE, NOW, NOW);
    EXPECT_TRUE(health.mayTake("e", SMALL, NOW));
    EXPECT_GT(health.startsLeft("e", {}, {}, NOW), 0U);
}
