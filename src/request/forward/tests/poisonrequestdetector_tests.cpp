#include <gtest/gtest.h>

#include "request/forward/poisonrequestdetector.h"

using namespace nutmegplank;
using namespace nutmegplank::request::forward;
using namespace std::chrono_literals;

namespace {

const auto NOW = base::TimePoint(base::Duration(1h));

} // namespace

TEST(PoisonRequestDetector, PoisonRequestDetector_ThirdCrashOnAnyMachine_RefusesRequest)
{
    auto poisonRequests = PoisonRequestDetector();
    poisonRequests.recordCrash("f", NOW);
    poisonRequests.recordCrash("f", NOW);
    EXPECT_FALSE(poisonRequests.isPoison("f", NOW));
    poisonRequests.setRemoteCrashes("other", { "f", 1 }, NOW);
    poisonRequests.setRemoteCrashes("other", { "f", 1 }, NOW);
    EXPECT_TRUE(poisonRequests.isPoison("f", NOW));
    EXPECT_FALSE(poisonRequests.isPoison("f", NOW + 2min));
}

TEST(PoisonRequestDetector, PoisonRequestDetector_AnsweredRequest_IsForgotten)
{
    auto poisonRequests = PoisonRequestDetector();
    for (auto crash = 0; crash < 3; ++crash)
        poisonRequests.recordCrash("f", NOW);
    poisonRequests.clear("f");
    EXPECT_FALSE(poisonRequests.isPoison("f", NOW));
    EXPECT_TRUE(poisonRequests.localCounts().empty());
}

TEST(PoisonRequestDetector, PoisonRequestDetector_Fingerprint_DependsOnWorkspacePathAndBody)
{
    const auto one = PoisonRequestDetector::fingerprintOf("w", "/p", "body");
    EXPECT_EQ(one, PoisonRequestDetector::fingerprintOf("w", "/p", "body"));
    EXPECT_NE(one, PoisonRequestDetector::fingerprintOf("v", "/p", "body"));
    EXPECT_NE(one, PoisonRequestDetector::fingerprintOf("w", "/q", "body"));
    EXPECT_NE(one, PoisonRequestDetector::fingerprintOf("w", "/p", "other"));
}
