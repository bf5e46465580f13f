#include <gtest/gtest.h>

#include "process/servers/servertable.h"

using namespace nutmegplank;
using namespace nutmegplank::process::servers;
using namespace std::chrono_literals;

namespace {

const auto NOW = base::TimePoint(base::Duration(1h));
const auto LONG_AGO = NOW - 60s;

auto makeRecord(const std::string &id, const std::string &zone = "a") -> ServerRecord
{
    auto record = ServerRecord();
    record.id = id;
    record.service = "desk";
    record.zone = zone;
    return record;
}

} // namespace

TEST(ServerTable, ServerTable_RemovedEntry_IsGoneAtOnce)
{
    auto table = ServerTable({});
    table.update(makeRecord("s"), 1, NOW);
    table.remove("s", LONG_AGO, NOW);
    EXPECT_EQ(table.find("s"), nullptr);
}

TEST(ServerTable, ServerTable_EntryThatLapsedWhileTheStoreWasAway_IsKeptUntilItMustBeBack)
{
    auto table = ServerTable({});
    table.update(makeRecord("s"), 1, NOW - 10s);
    table.remove("s", NOW - 100ms, NOW);
    table.expire(NOW + 1s);
    EXPECT_EQ(table.usableOf("desk").size(), 1U);
    table.expire(NOW + 3s);
    EXPECT_TRUE(table.usableOf("desk").empty());
}

TEST(ServerTable, ServerTable_EntryThatCameBack_Stays)
{
    auto table = ServerTable({});
    table.update(makeRecord("s"), 1, NOW - 10s);
    table.remove("s", NOW - 100ms, NOW);
    table.update(makeRecord("s"), 2, NOW + 1s);
    table.expire(NOW + 5s);
    EXPECT_NE(table.find("s"), nullptr);
}

TEST(ServerTable, ServerTable_DrainingOrZoneOut_GetsNothingNew)
{
    auto table = ServerTable({});
    auto draining = makeRecord("d");
    draining.state = ServerState::Draining;
    table.update(draining, 1, NOW);
    table.update(makeRecord("out", "b"), 2, NOW);
    table.update(makeRecord("in", "a"), 3, NOW);
    table.setZonesOut({ "b" });
    const auto usable = table.usableOf("desk");
    ASSERT_EQ(usable.size(), 1U);
    EXPECT_EQ(usable[0]->record.id, "in");
}

TEST(ServerTable, ServerTable_Snapshot_RemovesWhatItLacks)
{
    auto table = ServerTable({});
    table.update(makeRecord("kept"), 1, NOW);
    table.update(makeRecord("gone"), 2, NOW);
    table.retain({ "kept" }, LONG_AGO, NOW);
    EXPECT_NE(table.find("kept"), nullptr);
    EXPECT_EQ(table.find("gone"), nullptr);
}
