#include <gtest/gtest.h>

#include "base/jsonreader.h"
#include "process/inventory/internal/servertable.h"

using namespace nutmegplank;
using namespace nutmegplank::process::inventory;

namespace {

auto apply(ServerTable &table, std::string_view text) -> absl::Status
{
    return table.apply(*base::parseJson(text));
}

} // namespace

TEST(ServerTable, ServerTable_Apply_FollowsChangesAndFullLists)
{
    auto table = ServerTable();
    ASSERT_TRUE(apply(table, R"({"revision": 1, "full": true, "vms": [
        {"id": "b", "service": "s", "zone": "z", "address": "127.0.0.1:1", "state": "live"},
        {"id": "a", "service": "s", "zone": "z", "address": "127.0.0.1:2", "state": "live", "rack": 7}]})")
                    .ok());
    ASSERT_TRUE(apply(table, R"({"revision": 2, "vms": [{"id": "a", "state": "gone"},
        {"id": "b", "service": "s", "zone": "z", "address": "127.0.0.1:1", "state": "leaving"}]})")
                    .ok());
    EXPECT_EQ(table.view()->find("a"), nullptr);
    EXPECT_EQ(table.view()->find("b")->state, ServerState::Leaving);
    ASSERT_TRUE(apply(table, R"({"revision": 9, "full": true, "vms": []})").ok());
    EXPECT_TRUE(table.view()->servers.empty());
}

TEST(ServerTable, ServerTable_Apply_MalformedAnswerChangesNothing)
{
    auto table = ServerTable();
    EXPECT_FALSE(apply(table, R"({"revision": 3, "vms": [{"id": "a", "state": "lost"}]})").ok());
    EXPECT_EQ(table.revision(), 0U);
    EXPECT_TRUE(table.view()->servers.empty());
}

TEST(ServerTable, ServerTable_ShardOf_SpreadsServersAndStaysPut)
{
    auto counts = std::map<std::string, int>();
    for (auto number = 0; number < 400; ++number) {
        auto server = BackendServer();
        server.id = "server-" + std::to_string(number);
        server.service = "quote-gen";
        ++counts[shardOf(server, 4)];
    }
    ASSERT_EQ(counts.size(), 4U);
    for (const auto &[shard, count] : counts)
        EXPECT_NEAR(count, 100, 40) << shard;
}
