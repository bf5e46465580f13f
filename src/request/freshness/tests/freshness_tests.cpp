#include <gtest/gtest.h>

#include "request/freshness/freshness.h"

using namespace nutmegplank;
using namespace nutmegplank::request::freshness;
using namespace std::chrono_literals;

namespace {

constexpr auto MAX_AGE = base::Duration(4s);
const auto s_now = base::TimePoint(base::Duration(1h));

} // namespace

TEST(Freshness, Freshness_LogReadWithinMaxAge_Serves)
{
    EXPECT_TRUE(mayServeKeyed({ s_now - MAX_AGE, false }, s_now, MAX_AGE));
}

TEST(Freshness, Freshness_LogOutageWithMajority_Serves)
{
    EXPECT_TRUE(mayServeKeyed({ s_now - 1h + 1s, true }, s_now, MAX_AGE));
}

TEST(Freshness, Freshness_NoLogAndNoMajority_DoesNotServe)
{
    EXPECT_FALSE(mayServeKeyed({ s_now - MAX_AGE - 1us, false }, s_now, MAX_AGE));
}

TEST(Freshness, Freshness_LogNeverRead_DoesNotServe)
{
    const auto justStarted = base::TimePoint(base::Duration(1s));
    EXPECT_FALSE(mayServeKeyed({ base::TimePoint(), false }, justStarted, MAX_AGE));
}
