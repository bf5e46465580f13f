#include <gtest/gtest.h>

#include "process/members/memberlist.h"

using namespace nutmegplank;
using namespace nutmegplank::process::members;
using namespace std::chrono_literals;

namespace {

const auto NOW = base::TimePoint(base::Duration(1h));
const auto LONG_AGO = NOW - 60s;

auto makeRecord(const std::string &node, bool serving = true) -> record::MemberRecord
{
    auto record = record::MemberRecord();
    record.set_node(node);
    record.set_incarnation(node + "#1");
    record.set_address("10.0.0.1:1");
    record.set_serving(serving);
    return record;
}

} // namespace

TEST(MemberList, MemberList_SilentMember_IsDropped)
{
    auto list = MemberList();
    list.hear(makeRecord("a"), base::Duration(0), NOW);
    EXPECT_EQ(list.serving(NOW + 3s, LONG_AGO, NOW + 3s).size(), 1U);
    EXPECT_TRUE(list.serving(NOW + 4s, LONG_AGO, NOW + 4s).empty());
}

TEST(MemberList, MemberList_LogAway_NobodyIsDropped)
{
    auto list = MemberList();
    list.hear(makeRecord("a"), base::Duration(0), NOW);
    EXPECT_EQ(list.serving(NOW + 1s, LONG_AGO, NOW + 20s).size(), 1U);
}

TEST(MemberList, MemberList_LogBack_MembersHaveTimeToBeHeard)
{
    auto list = MemberList();
    list.hear(makeRecord("a"), base::Duration(0), NOW);
    const auto back = NOW + 20s;
    EXPECT_EQ(list.serving(back, back, back + 1s).size(), 1U);
    EXPECT_TRUE(list.serving(back + 3s, back, back + 3s).empty());
}

TEST(MemberList, MemberList_LeavingMember_IsNotNamed)
{
    auto list = MemberList();
    list.hear(makeRecord("a", false), base::Duration(0), NOW);
    EXPECT_TRUE(list.serving(NOW, LONG_AGO, NOW).empty());
}

TEST(MemberList, MemberList_OldHeartbeatFromASnapshot_DoesNotCountAsNew)
{
    auto list = MemberList();
    list.hear(makeRecord("a"), 30s, NOW);
    EXPECT_TRUE(list.serving(NOW, LONG_AGO, NOW).empty());
}
