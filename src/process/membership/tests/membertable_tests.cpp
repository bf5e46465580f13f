#include "process/membership/internal/membertable.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

using namespace nutmegplank;
using namespace nutmegplank::process::membership;

namespace {

constexpr auto TIMES = DetectionTimes { std::chrono::seconds(1), std::chrono::seconds(10) };

auto at(int milliseconds) -> base::TimePoint
{
    return base::TimePoint(std::chrono::milliseconds(milliseconds + 1));
}

auto member(const std::string &id, std::uint64_t incarnation = 1,
            MemberState state = MemberState::Alive) -> Member
{
    auto made = Member();
    made.id = id;
    made.incarnation = incarnation;
    made.state = state;
    return made;
}

} // namespace

TEST(MemberTable, MemberTable_Suspect_DiesUnlessRefuted)
{
    auto table = MemberTable(member("self"), TIMES);
    table.hear(member("a"), at(0));
    table.hear(member("b"), at(0));
    table.suspect("a", at(100));
    table.suspect("b", at(100));
    table.learn(member("b", 2), at(500));
    table.expire(at(1200));
    EXPECT_EQ(table.find("a")->state, MemberState::Dead);
    EXPECT_EQ(table.find("b")->state, MemberState::Alive);
    table.expire(at(12'000));
    EXPECT_EQ(table.find("a"), nullptr);
}

TEST(MemberTable, MemberTable_Learn_RefutesNewsOfOwnDeath)
{
    auto table = MemberTable(member("self", 5), TIMES);
    EXPECT_TRUE(table.learn(member("self", 5, MemberState::Dead), at(0)));
    EXPECT_EQ(table.self().incarnation, 6U);
    EXPECT_EQ(table.self().state, MemberState::Alive);
}

TEST(MemberTable, MemberTable_Learn_EndsTheSameInAnyOrder)
{
    const auto held = rc::check([] {
        auto news = std::vector<Member>();
        for (auto count = *rc::gen::inRange(1, 12); count > 0; --count) {
            const auto state = static_cast<MemberState>(*rc::gen::inRange(0, 4));
            news.push_back(member("a", *rc::gen::inRange<std::uint64_t>(2, 5), state));
        }
        auto first = MemberTable(member("self"), TIMES);
        auto second = MemberTable(member("self"), TIMES);
        // Known to both, since a death of somebody unknown is no news.
        first.learn(member("a", 1), at(0));
        second.learn(member("a", 1), at(0));
        for (const auto &item : news)
            first.learn(item, at(1));
        std::reverse(news.begin(), news.end());
        for (const auto &item : news)
            second.learn(item, at(1));
        RC_ASSERT(first.find("a")->incarnation == second.find("a")->incarnation);
        RC_ASSERT(first.find("a")->state == second.find("a")->state);
    });
    EXPECT_TRUE(held);
}
