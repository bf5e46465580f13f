#include <gtest/gtest.h>

#include "request/freshness/freshness.h"

using namespace nutmegplank;
using namespace nutmegplank::request::freshness;
using namespace std::chrono_literals;

namespace {

constexpr auto BOUND = base::Duration(4s);
const auto s_now = base::TimePoint(base::Duration(1h));

} // namespace

TEST(Freshness, Freshness_Rule_LogWithinTheBoundIsEnough)
{
    EXPECT_TRUE(mayServeKeyed({ s_now - BOUND, false }, s_now, BOUND));
}

TEST(Freshness, Freshness_Rule_LogOutageSeenByAllDoesNotStopService)
{
    EXPECT_TRUE(mayServeKeyed({ s_now - 1h + 1s, true }, s_now, BOUND));
}

TEST(Freshness, Freshness_Rule_CutOffFromLogAndMajorityStops)
{
    EXPECT_FALSE(mayServeKeyed({ s_now - BOUND - 1us, false }, s_now, BOUND));
}

TEST(Freshness, Freshness_Rule_LogThatNeverAnsweredConfirmsNothing)
{
    const auto justStarted = base::TimePoint(base::Duration(1s));
    EXPECT_FALSE(mayServeKeyed({ base::TimePoint(), false }, justStarted, BOUND));
}
