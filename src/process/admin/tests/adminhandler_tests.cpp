#include "adminfixture.h"

using namespace nutmegplank;
using namespace nutmegplank::process::admin;

TEST_F(AdminTest, Admin_Key_IsNeededForEveryCall)
{
    for (const auto *target : { "state", "members", "servers", "audit", "in-force?version=1" }) {
        EXPECT_EQ(call("GET", target, "", "another").status, 401U) << target;
        EXPECT_EQ(call("GET", target).status, 200U) << target;
    }
    EXPECT_EQ(call("POST", "changes", "{}", "").status, 401U);
}

TEST_F(AdminTest, Admin_Changes_RaceIsAConflictThatNamesTheWinner)
{
    const auto first = addZone("1", 0, "a");
    ASSERT_EQ(first.status, 200U) << first.body;
    const auto lost = addZone("2", 0, "b");
    EXPECT_EQ(lost.status, 409U);
    const auto winner = json::parse(lost.body).at("error").at("winner");
    EXPECT_EQ(winner.at("who").as_string(), "ana");
    EXPECT_EQ(winner.at("version").to_number<std::uint64_t>(), versionOf(first));
    const auto entries = json::parse(call("GET", "audit?from=0").body).at("entries").as_array();
    ASSERT_EQ(entries.size(), 2U);
    EXPECT_TRUE(entries[1].at("conflict").as_bool());
}

TEST_F(AdminTest, Admin_Changes_RepeatUnderTheSameIdCountsOnce)
{
    const auto first = addZone("1", 0, "a");
    const auto next = addZone("2", versionOf(first), "b");
    ASSERT_EQ(next.status, 200U);
    const auto repeat = addZone("1", 0, "a");
    EXPECT_EQ(repeat.status, 200U);
    EXPECT_EQ(versionOf(repeat), versionOf(first));
    const auto verdict =
        json::parse(call("GET", base::concat("in-force?version=", versionOf(next))).body);
    EXPECT_TRUE(verdict.at("in_force").as_bool());
}

TEST_F(AdminTest, Admin_Changes_InvalidOnesAreRefusedAndNotAppended)
{
    EXPECT_EQ(call("POST", "changes", "{").status, 400U);
    const auto broken =
        R"({"base_version": 0, "what": "x", "changes": [{"object": "key", "name": "k",
        "value": {"id": "k", "workspace": "none", "sha256": ")"
        + std::string(64, 'a') + R"("}}]})";
    EXPECT_EQ(call("POST", "changes", broken).status, 400U);
    EXPECT_EQ(m_logService.stats().at("appends").to_number<std::uint64_t>(), 0U);
}
