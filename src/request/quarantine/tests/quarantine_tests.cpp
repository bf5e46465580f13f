#include <gtest/gtest.h>

#include "request/quarantine/quarantine.h"

using namespace nutmegplank;
using namespace nutmegplank::request::quarantine;
using namespace std::chrono_literals;

namespace {

constexpr auto QUARANTINE_TIME = base::Duration(60s);
const auto NOW = base::TimePoint(base::Duration(1h));

} // namespace

TEST(Quarantine, Quarantine_RepeatedDeath_IsolatesThenRefusesTemporarily)
{
    auto quarantine = Quarantine({ QUARANTINE_TIME });
    EXPECT_EQ(quarantine.handling("f", NOW), Handling::Normal);
    quarantine.recordDeath("f", 3, NOW);
    EXPECT_EQ(quarantine.handling("f", NOW), Handling::Isolate);
    quarantine.recordDeath("f", 0, NOW);
    EXPECT_EQ(quarantine.handling("f", NOW), Handling::Refuse);
    EXPECT_EQ(quarantine.handling("f", NOW + QUARANTINE_TIME), Handling::Normal);
}

TEST(Quarantine, Quarantine_DeathsWithConcurrentRequests_NeverRefuse)
{
    auto quarantine = Quarantine({ QUARANTINE_TIME });
    for (auto death = 0; death < 5; ++death)
        quarantine.recordDeath("f", 1, NOW);
    EXPECT_EQ(quarantine.handling("f", NOW), Handling::Isolate);
    quarantine.recordSuccess("f");
    EXPECT_EQ(quarantine.handling("f", NOW), Handling::Normal);
}

TEST(Quarantine, Quarantine_Announcements_ReachOtherGateways)
{
    auto other = Quarantine({ QUARANTINE_TIME });
    auto quarantine = Quarantine({ QUARANTINE_TIME }, [&other](const wire::Quarantine &message) {
        other.applyRemote(message, NOW);
    });
    quarantine.recordDeath("f", 0, NOW);
    EXPECT_EQ(other.handling("f", NOW), Handling::Isolate);
    other.recordDeath("f", 0, NOW);
    EXPECT_EQ(other.handling("f", NOW), Handling::Refuse);
    quarantine.recordSuccess("f");
    EXPECT_EQ(other.handling("f", NOW), Handling::Normal);
}
