#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "request/limit/ilimit.h"

using namespace nutmegplank;
using namespace nutmegplank::request::limit;

namespace {

constexpr auto WARM_UP = std::chrono::milliseconds(1000);
constexpr auto START = base::TimePoint(std::chrono::seconds(100));
constexpr auto WARM_LATENCY = std::chrono::milliseconds(20);

auto makeOptions(std::uint32_t coldLimit = 2, std::uint32_t warmLimit = 16) -> LimitOptions
{
    return { coldLimit, warmLimit, WARM_UP };
}

//! Feeds the limit with samples of \a latency at full use from \a from to \a to. True when it
//! detected a cold start.
auto applyLatency(ILimit &limit, base::TimePoint from, base::TimePoint to, base::Duration latency)
    -> bool
{
    constexpr auto STEP = std::chrono::milliseconds(10);
    auto coldStartDetected = false;
    for (auto now = from; now < to; now += STEP)
        coldStartDetected = limit.onLatency(latency, limit.limit(now), now) || coldStartDetected;
    return coldStartDetected;
}

} // namespace

//! Guards against overloading a cold server: it fails under more than its cold limit until its
//! warm-up is over.
RC_GTEST_PROP(Limit, Limit_AnyHistory_StaysWithinColdLimitDuringWarmUp, ())
{
    const auto policy = *rc::gen::element(LimitPolicy::Adaptive, LimitPolicy::Static);
    const auto given = makeOptions(*rc::gen::inRange(1U, 4U), *rc::gen::inRange(4U, 32U));
    auto now = START;
    auto coldSince = now;
    auto limit = makeLimit(policy, given, now);
    const auto steps = *rc::gen::inRange(1, 300);
    for (auto step = 0; step < steps; ++step) {
        now += std::chrono::milliseconds(*rc::gen::inRange(0, 200));
        if (*rc::gen::inRange(0, 20) == 0) {
            limit->becomeCold(now);
            coldSince = now;
        }
        const auto latency = std::chrono::milliseconds(*rc::gen::inRange(0, 400));
        if (limit->onLatency(latency, *rc::gen::inRange(0U, 40U), now))
            coldSince = now;
        const auto isCold = now < coldSince + WARM_UP;
        RC_ASSERT(limit->isCold(now) == isCold);
        RC_ASSERT(limit->limit(now) >= 1U);
        RC_ASSERT(limit->limit(now) <= (isCold ? given.coldLimit : given.warmLimit));
    }
}

TEST(Limit, Limit_Adaptive_ReachesWarmLimitWithinOneAndAHalfWarmUps)
{
    auto limit = makeLimit(LimitPolicy::Adaptive, makeOptions(), START);
    applyLatency(*limit, START, START + WARM_UP * 3 / 2, WARM_LATENCY);
    EXPECT_EQ(limit->limit(START + WARM_UP * 3 / 2), 16U);
}

TEST(Limit, Limit_Adaptive_ShrinksUnderHighLatencyAndRecovers)
{
    auto limit = makeLimit(LimitPolicy::Adaptive, makeOptions(), START);
    applyLatency(*limit, START, START + WARM_UP * 2, WARM_LATENCY);
    // Rises slowly enough not to be detected as a cold start.
    auto now = START + WARM_UP * 2;
    for (auto factor = 10; factor <= 50; ++factor) {
        EXPECT_FALSE(applyLatency(*limit, now, now + WARM_UP, WARM_LATENCY * factor / 10));
        now += WARM_UP;
    }
    const auto shrunk = limit->limit(now);
    EXPECT_LT(shrunk, 16U);
    applyLatency(*limit, now, now + WARM_UP, WARM_LATENCY);
    EXPECT_EQ(limit->limit(now + WARM_UP), 16U);
}

TEST(Limit, Limit_Adaptive_DetectsColdStartByLatencyStep)
{
    auto limit = makeLimit(LimitPolicy::Adaptive, makeOptions(), START);
    const auto warm = START + WARM_UP * 2;
    applyLatency(*limit, START, warm, WARM_LATENCY);
    EXPECT_TRUE(applyLatency(*limit, warm, warm + WARM_UP / 2, WARM_LATENCY * 4));
    EXPECT_EQ(limit->limit(warm + WARM_UP / 2), 2U);
}

TEST(Limit, Limit_Adaptive_IgnoresSingleStall)
{
    auto limit = makeLimit(LimitPolicy::Adaptive, makeOptions(), START);
    const auto warm = START + WARM_UP * 2;
    applyLatency(*limit, START, warm, WARM_LATENCY);
    // A single stall delays all streams of a batch at once.
    for (auto stream = 0; stream < 16; ++stream)
        EXPECT_FALSE(limit->onLatency(WARM_LATENCY * 10, 16, warm));
    EXPECT_FALSE(applyLatency(*limit, warm + WARM_LATENCY, warm + WARM_UP, WARM_LATENCY));
}

TEST(Limit, Limit_Adaptive_SkipsWarmUpOfServerUnderLoad)
{
    auto limit = makeLimit(LimitPolicy::Adaptive, makeOptions(), START);
    limit->becomeWarm(7, START);
    EXPECT_EQ(limit->limit(START), 7U);
    EXPECT_EQ(limit->limit(START + WARM_UP / 2), 16U);
}
