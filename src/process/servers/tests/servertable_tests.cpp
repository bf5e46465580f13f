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

namespace {

auto makeProcess(std::int64_t incarnation, const std::string &endpoint = "10.0.0.1:80")
    -> ServerRecord
{
    auto record = makeRecord("s");
    record.incarnation = incarnation;
    record.endpoint = endpoint;
    return record;
}

auto isUsed(const ServerTable &table) -> bool
{
    return !table.usableOf("desk").empty();
}

} // namespace

//! A record that was written before the server said that it leaves made it usable again.
TEST(ServerTable, ServerTable_ServerSaysItLeaves_LaterReadRecordsDoNotBringItBack)
{
    auto table = ServerTable({});
    table.update(makeProcess(7), 1, NOW);
    table.noteLeaving("s", NOW + 1s, NOW + 2s);
    EXPECT_FALSE(isUsed(table));
    EXPECT_NE(table.find("s"), nullptr);
    table.update(makeProcess(7), 2, NOW + 3s);
    EXPECT_FALSE(isUsed(table));
    table.remove("s", LONG_AGO, NOW + 4s);
    table.expire(NOW + 5s);
    table.update(makeProcess(7), 3, NOW + 6s);
    EXPECT_FALSE(isUsed(table));
}

//! A restarted server must not stay out of service for what its former process said.
TEST(ServerTable, ServerTable_NextProcessOfALeavingServer_IsUsed)
{
    auto table = ServerTable({});
    table.update(makeProcess(7), 1, NOW);
    table.noteLeaving("s", NOW, NOW);
    table.update(makeProcess(8), 2, NOW + 1s);
    EXPECT_TRUE(isUsed(table));
    table.noteLeaving("s", NOW + 1s, NOW + 1s);
    EXPECT_FALSE(isUsed(table));
    table.update(makeProcess(8, "10.0.0.2:80"), 3, NOW + 2s);
    EXPECT_TRUE(isUsed(table));
}

//! The response of the former process arrives after the record of the next one.
TEST(ServerTable, ServerTable_LateResponseOfAFormerProcess_IsNotTheNextOnes)
{
    auto table = ServerTable({});
    table.update(makeProcess(7), 1, NOW);
    table.update(makeProcess(8), 2, NOW + 2s);
    table.noteLeaving("s", NOW + 1s, NOW + 3s);
    EXPECT_TRUE(isUsed(table));
    table.noteLeaving("unknown", NOW, NOW);
}

TEST(ServerTable, ServerTable_ServersThatLeftLongAgo_AreForgotten)
{
    auto table = ServerTable({});
    table.update(makeProcess(7), 1, NOW);
    table.noteLeaving("s", NOW, NOW);
    table.expire(NOW + 20min);
    EXPECT_FALSE(isUsed(table));
    table.remove("s", LONG_AGO, NOW + 20min);
    table.expire(NOW + 20min);
    table.update(makeProcess(7), 2, NOW + 21min);
    EXPECT_TRUE(isUsed(table));
}
