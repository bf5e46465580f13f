#include <gtest/gtest.h>

#include "request/forward/suspects.h"

using namespace nutmegplank;
using namespace nutmegplank::request::forward;
using namespace std::chrono_literals;

namespace {

const auto NOW = base::TimePoint(base::Duration(1h));

} // namespace

TEST(Suspects, Suspects_ThirdCrashOnAnyMachine_RefusesRequest)
{
    auto suspects = Suspects();
    suspects.noteCrash("f", NOW);
    suspects.noteCrash("f", NOW);
    EXPECT_FALSE(suspects.condemned("f", NOW));
    suspects.learn("other", { "f", 1 }, NOW);
    suspects.learn("other", { "f", 1 }, NOW);
    EXPECT_TRUE(suspects.condemned("f", NOW));
    EXPECT_FALSE(suspects.condemned("f", NOW + 2min));
}

TEST(Suspects, Suspects_AnsweredRequest_IsForgotten)
{
    auto suspects = Suspects();
    for (auto crash = 0; crash < 3; ++crash)
        suspects.noteCrash("f", NOW);
    suspects.clear("f");
    EXPECT_FALSE(suspects.condemned("f", NOW));
    EXPECT_TRUE(suspects.own().empty());
}

TEST(Suspects, Suspects_Fingerprint_DependsOnWorkspacePathAndBody)
{
    const auto one = Suspects::fingerprintOf("w", "/p", "body");
    EXPECT_EQ(one, Suspects::fingerprintOf("w", "/p", "body"));
    EXPECT_NE(one, Suspects::fingerprintOf("v", "/p", "body"));
    EXPECT_NE(one, Suspects::fingerprintOf("w", "/q", "body"));
    EXPECT_NE(one, Suspects::fingerprintOf("w", "/p", "other"));
}
