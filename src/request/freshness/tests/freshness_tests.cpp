#include <gtest/gtest.h>

#include "request/freshness/freshness.h"

using namespace nutmegplank;
using namespace nutmegplank::request::freshness;
using namespace std::chrono_literals;

namespace {

constexpr auto MAX_AGE = base::Duration(4s);
const auto NOW = base::TimePoint(base::Duration(1h));

} // namespace

TEST(Freshness, Freshness_LogReadWithinMaxAge_Serves)
{
    EXPECT_TRUE(mayServeKeyed({ NOW - MAX_AGE, false }, NOW, MAX_AGE));
}

TEST(Freshness, Freshness_LogOutageWithMajority_Serves)
{
    EXPECT_TRUE(mayServeKeyed({ NOW - 1h + 1s, true }, NOW, MAX_AGE));
}

TEST(Freshness, Freshness_NoLogAndNoMajority_DoesNotServe)
{
    EXPECT_FALSE(mayServeKeyed({ NOW - MAX_AGE - 1us, false }, NOW, MAX_AGE));
}

TEST(Freshness, Freshness_LogNeverRead_DoesNotServe)
{
    const auto justStarted = base::TimePoint(base::Duration(1s));
    EXPECT_FALSE(mayServeKeyed({ base::TimePoint(), false }, justStarted, MAX_AGE));
}
