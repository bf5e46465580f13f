#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "process/servers/evacuatedzones.h"

using namespace nutmegplank;
using namespace nutmegplank::process::servers;

namespace {

using Zones = std::set<std::string>;

} // namespace

TEST(EvacuatedZones, EvacuatedZones_RecordIsRemoved_EvacuationEnds)
{
    auto zones = EvacuatedZones();
    EXPECT_TRUE(zones.apply("a", true, 3));
    EXPECT_FALSE(zones.apply("a", true, 4));
    EXPECT_EQ(zones.zones(), Zones { "a" });
    EXPECT_TRUE(zones.apply("a", false, 5));
    EXPECT_TRUE(zones.zones().empty());
}

//! The removal of the record was compacted away, so that the zone stayed out for good.
TEST(EvacuatedZones, EvacuatedZones_SnapshotWithoutTheRecord_EvacuationEnds)
{
    auto zones = EvacuatedZones();
    zones.apply("a", true, 3);
    zones.apply("b", true, 4);
    EXPECT_EQ(zones.retain({ "b" }, 9), Zones { "a" });
    EXPECT_EQ(zones.zones(), Zones { "b" });
}

//! A snapshot that was requested before an evacuation began arrives after it.
TEST(EvacuatedZones, EvacuatedZones_SnapshotFromBefore_EvacuationGoesOn)
{
    auto zones = EvacuatedZones();
    zones.apply("a", true, 9);
    EXPECT_TRUE(zones.retain({}, 9).empty());
    EXPECT_EQ(zones.zones(), Zones { "a" });
}

//! A snapshot that was requested before an evacuation ended brings its record back.
TEST(EvacuatedZones, EvacuatedZones_RecordFromBeforeTheEnd_IsIgnored)
{
    auto zones = EvacuatedZones();
    zones.apply("a", true, 3);
    zones.apply("a", false, 7);
    EXPECT_FALSE(zones.apply("a", true, 3));
    zones.apply("b", true, 4);
    zones.retain({}, 9);
    EXPECT_FALSE(zones.apply("b", true, 4));
    EXPECT_TRUE(zones.zones().empty());
    EXPECT_TRUE(zones.apply("b", true, 9));
}

//! Snapshots of any age arrive between the records of one follower, which may skip records that
//! were compacted away: after a snapshot of the whole log its state holds.
RC_GTEST_PROP(EvacuatedZones, EvacuatedZones_AnyOrderOfReads_EndsWithTheLogsState, ())
{
    struct Written
    {
        std::string zone;
        bool evacuated;
    };
    const auto names = std::vector<std::string> { "a", "b", "c" };
    auto log = std::vector<Written>();
    auto zones = EvacuatedZones();
    const auto applySnapshot = [&](std::size_t end) {
        auto newest = std::map<std::string, std::size_t>();
        for (auto offset = std::size_t(0); offset < end; ++offset) {
            newest.erase(log[offset].zone);
            if (log[offset].evacuated)
                newest[log[offset].zone] = offset;
        }
        auto recorded = Zones();
        for (const auto &[zone, offset] : newest) {
            recorded.insert(zone);
            zones.apply(zone, true, offset);
        }
        zones.retain(recorded, end);
        return recorded;
    };
    for (auto step = 0; step < 60; ++step) {
        log.push_back({ names[*rc::gen::inRange<std::size_t>(0, names.size())],
                        *rc::gen::arbitrary<bool>() });
        const auto isFollowed = *rc::gen::arbitrary<bool>();
        if (isFollowed)
            zones.apply(log.back().zone, log.back().evacuated, log.size() - 1);
        if (*rc::gen::inRange(0, 4) == 0)
            applySnapshot(*rc::gen::inRange<std::size_t>(0, log.size() + 1));
    }
    const auto expected = applySnapshot(log.size());
    RC_ASSERT(zones.zones() == expected);
}
