#include <gtest/gtest.h>

#include "request/quarantine/quarantine.h"

using namespace nutmegplank;
using namespace nutmegplank::request::quarantine;
using namespace std::chrono_literals;

namespace {

constexpr auto HOLD = base::Duration(60s);
const auto s_now = base::TimePoint(base::Duration(1h));

} // namespace

TEST(Quarantine, Quarantine_Killer_IsIsolatedThenRefusedForAWhile)
{
    auto quarantine = Quarantine({ HOLD });
    EXPECT_EQ(quarantine.handling("f", s_now), Handling::Normal);
    quarantine.recordDeath("f", 3, s_now);
    EXPECT_EQ(quarantine.handling("f", s_now), Handling::Isolate);
    quarantine.recordDeath("f", 0, s_now);
    EXPECT_EQ(quarantine.handling("f", s_now), Handling::Refuse);
    EXPECT_EQ(quarantine.handling("f", s_now + HOLD), Handling::Normal);
}

TEST(Quarantine, Quarantine_Bystander_IsNeverRefused)
{
    auto quarantine = Quarantine({ HOLD });
    for (auto death = 0; death < 5; ++death)
        quarantine.recordDeath("f", 1, s_now);
    EXPECT_EQ(quarantine.handling("f", s_now), Handling::Isolate);
    quarantine.recordSuccess("f");
    EXPECT_EQ(quarantine.handling("f", s_now), Handling::Normal);
}

TEST(Quarantine, Quarantine_Announce_ReachesOtherGateways)
{
    auto other = Quarantine({ HOLD });
    auto quarantine = Quarantine(
        { HOLD }, [&other](const wire::Quarantine &message) { other.learn(message, s_now); });
    quarantine.recordDeath("f", 0, s_now);
    EXPECT_EQ(other.handling("f", s_now), Handling::Isolate);
    other.recordDeath("f", 0, s_now);
    EXPECT_EQ(other.handling("f", s_now), Handling::Refuse);
    quarantine.recordSuccess("f");
    EXPECT_EQ(other.handling("f", s_now), Handling::Normal);
}
