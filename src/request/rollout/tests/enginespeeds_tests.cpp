// Load: engines of two kinds in one service, and engines that turn 3.5 times slower for seconds.
#include <gtest/gtest.h>

#include "request/rollout/enginespeeds.h"

using namespace nutmegplank;
using namespace nutmegplank::request::rollout;
using namespace std::chrono_literals;

namespace {

const auto START = base::TimePoint(1000s);

//! \a runs runs at \a engine each send an event per \a interval during \a duration; every third is
//! a sample.
auto feed(EngineSpeeds &speeds, const std::string &engine, base::Duration interval, int runs,
          base::TimePoint &now, base::Duration duration) -> void
{
    const auto end = now + duration;
    for (; now + 3 * interval <= end; now += 3 * interval) {
        for (auto run = 0; run < runs; ++run)
            speeds.noteInterval(engine, interval, now + 3 * interval);
    }
    now = end;
}

} // namespace

TEST(EngineSpeeds, EngineSpeeds_EngineTurnsSlow_SeenWithinASecond)
{
    auto speeds = EngineSpeeds();
    auto now = START;
    feed(speeds, "e", 27ms, 4, now, 5s);
    EXPECT_NEAR(speeds.eventSeconds("e", now), 0.027, 0.001);
    feed(speeds, "e", 95ms, 4, now, 1s);
    EXPECT_GT(speeds.eventSeconds("e", now), 0.080);
}

TEST(EngineSpeeds, EngineSpeeds_EngineRecovers_SeenWithinASecond)
{
    auto speeds = EngineSpeeds();
    auto now = START;
    feed(speeds, "e", 27ms, 4, now, 5s);
    feed(speeds, "e", 95ms, 4, now, 8s);
    feed(speeds, "e", 27ms, 2, now, 1s);
    EXPECT_LT(speeds.eventSeconds("e", now), 0.032);
}

TEST(EngineSpeeds, EngineSpeeds_SlowEngineThatGetsNoRuns_IsSoonTriedAgain)
{
    auto speeds = EngineSpeeds();
    auto now = START;
    feed(speeds, "e", 27ms, 4, now, 5s);
    feed(speeds, "e", 95ms, 4, now, 8s);
    EXPECT_GT(speeds.eventSeconds("e", now + 1s), 0.080);
    EXPECT_LT(speeds.eventSeconds("e", now + 3s), 0.032);
}

TEST(EngineSpeeds, EngineSpeeds_UnknownEngine_CountsAsMiddleOne)
{
    auto speeds = EngineSpeeds();
    EXPECT_EQ(speeds.eventSeconds("e", START), 0.0);
    auto now = START;
    for (const auto *engine : { "a", "b", "c" })
        feed(speeds, engine, 64ms, 2, now, 2s);
    speeds.update(now);
    EXPECT_NEAR(speeds.eventSeconds("e", now), 0.064, 0.001);
}

TEST(EngineSpeeds, EngineSpeeds_EnginesOfOneSpeed_AreNoKindsEvenIfSomeAreSlowForAWhile)
{
    auto speeds = EngineSpeeds();
    auto now = START;
    for (auto engine = 0; engine < 24; ++engine) {
        now = START;
        const auto id = std::to_string(engine);
        feed(speeds, id, 40ms + std::chrono::milliseconds(engine % 5), 4, now, 5s);
        if (engine < 8)
            feed(speeds, id, 150ms, 4, now, 8s);
    }
    speeds.update(now);
    EXPECT_FALSE(speeds.hasKinds());
}

TEST(EngineSpeeds, EngineSpeeds_EnginesOfTwoSpeeds_AreKinds)
{
    auto speeds = EngineSpeeds();
    auto now = START;
    for (auto engine = 0; engine < 48; ++engine) {
        now = START;
        feed(speeds, std::to_string(engine), engine < 32 ? 47ms : 61ms, 4, now, 3s);
    }
    speeds.update(now);
    EXPECT_TRUE(speeds.hasKinds());
}

TEST(EngineSpeeds, EngineSpeeds_ReplacedEngines_AreForgotten)
{
    auto speeds = EngineSpeeds();
    auto now = START;
    for (auto engine = 0; engine < 10; ++engine) {
        now = START;
        feed(speeds, "old" + std::to_string(engine), engine < 5 ? 27ms : 64ms, 4, now, 3s);
    }
    speeds.update(now);
    EXPECT_TRUE(speeds.hasKinds());
    now += 6min;
    const auto later = now;
    for (auto engine = 0; engine < 10; ++engine) {
        now = later;
        feed(speeds, "new" + std::to_string(engine), 40ms, 4, now, 3s);
    }
    speeds.update(now);
    EXPECT_FALSE(speeds.hasKinds());
    EXPECT_NEAR(speeds.eventSeconds("old0", now), 0.040, 0.001);
}
