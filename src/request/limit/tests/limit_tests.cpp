#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "request/limit/ilimit.h"

using namespace nutmegplank;
using namespace nutmegplank::request::limit;

namespace {

constexpr auto WARM_UP = std::chrono::milliseconds(1000);
constexpr auto START = base::TimePoint(std::chrono::seconds(100));
constexpr auto USUAL = std::chrono::milliseconds(20);

auto options(std::uint32_t coldLimit = 2, std::uint32_t warmLimit = 16) -> LimitOptions
{
    return { coldLimit, warmLimit, WARM_UP };
}

//! Lets the limit work at \a latency and full use from \a from to \a to.
auto work(ILimit &limit, base::TimePoint from, base::TimePoint to, base::Duration latency) -> bool
{
    constexpr auto STEP = std::chrono::milliseconds(10);
    auto turnedCold = false;
    for (auto now = from; now < to; now += STEP)
        turnedCold = limit.onLatency(latency, limit.limit(now), now) || turnedCold;
    return turnedCold;
}

} // namespace

//! Whatever happens, a server that turned cold less than a warm-up ago gets no more than it bears.
RC_GTEST_PROP(Limit, Limit_AnyHistory_KeepsColdLimitForTheWarmUp, ())
{
    const auto policy = *rc::gen::element(LimitPolicy::Adaptive, LimitPolicy::Static);
    const auto given = options(*rc::gen::inRange(1U, 4U), *rc::gen::inRange(4U, 32U));
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

TEST(Limit, Limit_Adaptive_ReachesFullSpeedWithinOneAndAHalfWarmUps)
{
    auto limit = makeLimit(LimitPolicy::Adaptive, options(), START);
    work(*limit, START, START + WARM_UP * 3 / 2, USUAL);
    EXPECT_EQ(limit->limit(START + WARM_UP * 3 / 2), 16U);
}

TEST(Limit, Limit_Adaptive_ShrinksUnderLastingLatencyAndComesBack)
{
    auto limit = makeLimit(LimitPolicy::Adaptive, options(), START);
    work(*limit, START, START + WARM_UP * 2, USUAL);
    // Slowly enough not to be taken for a cold start.
    auto now = START + WARM_UP * 2;
    for (auto factor = 10; factor <= 50; ++factor) {
        EXPECT_FALSE(work(*limit, now, now + WARM_UP, USUAL * factor / 10));
        now += WARM_UP;
    }
    const auto shrunk = limit->limit(now);
    EXPECT_LT(shrunk, 16U);
    work(*limit, now, now + WARM_UP, USUAL);
    EXPECT_EQ(limit->limit(now + WARM_UP), 16U);
}

TEST(Limit, Limit_Adaptive_TakesLatencyStepForColdStart)
{
    auto limit = makeLimit(LimitPolicy::Adaptive, options(), START);
    const auto warm = START + WARM_UP * 2;
    work(*limit, START, warm, USUAL);
    EXPECT_TRUE(work(*limit, warm, warm + WARM_UP / 2, USUAL * 4));
    EXPECT_EQ(limit->limit(warm + WARM_UP / 2), 2U);
}

TEST(Limit, Limit_Adaptive_DoesNotTakeOneStallForColdStart)
{
    auto limit = makeLimit(LimitPolicy::Adaptive, options(), START);
    const auto warm = START + WARM_UP * 2;
    work(*limit, START, warm, USUAL);
    // All streams of a batch see the same stall at once.
    for (auto stream = 0; stream < 16; ++stream)
        EXPECT_FALSE(limit->onLatency(USUAL * 10, 16, warm));
    EXPECT_FALSE(work(*limit, warm + USUAL, warm + WARM_UP, USUAL));
}

TEST(Limit, Limit_Adaptive_ServerThatBearsLoadNeedsNoWarmUp)
{
    auto limit = makeLimit(LimitPolicy::Adaptive, options(), START);
    limit->becomeWarm(7, START);
    EXPECT_EQ(limit->limit(START), 7U);
    EXPECT_EQ(limit->limit(START + WARM_UP / 2), 16U);
}
