#include <gtest/gtest.h>

#include "process/clock/truetime.h"

using namespace nutmegplank;
using namespace nutmegplank::process::clock;
using namespace std::chrono_literals;

namespace {

const auto START = base::TimePoint(base::Duration(1h));
constexpr auto WALL_MS = std::int64_t(1'700'000'000'000);

} // namespace

TEST(TrueTime, TrueTime_RunsOnWithTheBootClock)
{
    const auto time = TrueTime(WALL_MS, START);
    EXPECT_EQ(time.milliseconds(START + 7s), WALL_MS + 7000);
}

TEST(TrueTime, TrueTime_StartedWithAWrongClock_FollowsTheOthers)
{
    auto time = TrueTime(WALL_MS + 2400, START);
    for (const auto *peer : { "b", "c", "d" })
        time.hear(peer, WALL_MS - 300, START);
    EXPECT_NEAR(static_cast<double>(time.milliseconds(START) - WALL_MS), 0.0, 500.0);
}

TEST(TrueTime, TrueTime_OnePeerWithAWrongClock_ChangesNothing)
{
    auto time = TrueTime(WALL_MS, START);
    time.hear("b", WALL_MS + 60'000, START);
    time.hear("c", WALL_MS - 200, START);
    time.hear("d", WALL_MS - 100, START);
    EXPECT_EQ(time.milliseconds(START), WALL_MS);
}

TEST(TrueTime, TrueTime_PeersHeardLate_ChangeNothing)
{
    auto time = TrueTime(WALL_MS, START);
    for (const auto *peer : { "b", "c", "d" })
        time.hear(peer, WALL_MS - 700, START);
    EXPECT_EQ(time.milliseconds(START), WALL_MS);
}

TEST(TrueTime, TrueTime_OldWordsOfAllPeersAtOnce_ChangeNothing)
{
    // Heartbeats that waited in the log for five seconds, right after prompt ones.
    auto time = TrueTime(WALL_MS, START);
    for (const auto *peer : { "b", "c", "d" })
        time.hear(peer, WALL_MS - 100, START);
    for (const auto *peer : { "b", "c", "d" })
        time.hear(peer, WALL_MS - 100, START + 2500ms);
    EXPECT_EQ(time.milliseconds(START), WALL_MS);
}
