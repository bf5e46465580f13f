#include "process/admin/internal/inforce.h"

#include <gtest/gtest.h>

using namespace nutmegplank;
using namespace nutmegplank::process;
using namespace nutmegplank::process::admin;

namespace {

constexpr auto BOUND = std::chrono::seconds(4);

auto at(std::int64_t seconds) -> base::TimePoint
{
    return base::TimePoint(std::chrono::seconds(seconds));
}

auto member(const std::string &id, std::uint64_t version, std::int64_t heard) -> membership::Member
{
    auto member = membership::Member();
    member.id = id;
    member.configurationVersion = version;
    member.lastHeard = at(heard);
    return member;
}

auto judge(const std::vector<membership::Member> &members, std::int64_t now) -> InForceVerdict
{
    auto question = InForceQuestion();
    question.version = 5;
    question.ownVersion = 5;
    question.ownId = "self";
    question.versionSeen = at(100);
    question.confirmBound = BOUND;
    return judgeInForce(members, question, at(now));
}

} // namespace

TEST(InForce, InForce_Member_HeardWithAnOlderVersionHoldsItUp)
{
    const auto verdict = judge({ member("a", 5, 101), member("b", 4, 101) }, 102);
    EXPECT_FALSE(verdict.inForce);
    EXPECT_EQ(verdict.behind, std::vector<std::string> { "b" });
    EXPECT_TRUE(judge({ member("a", 5, 101), member("b", 6, 101) }, 102).inForce);
}

TEST(InForce, InForce_Member_SilentForTheBoundSinceTheVersionCountsAsFenced)
{
    // Not heard for long already, but the version is younger than the bound: it may have confirmed
    // the older one a moment before.
    EXPECT_FALSE(judge({ member("a", 4, 10) }, 103).inForce);
    const auto verdict = judge({ member("a", 4, 10) }, 105);
    EXPECT_TRUE(verdict.inForce);
    EXPECT_EQ(verdict.fenced, std::vector<std::string> { "a" });
}

TEST(InForce, InForce_Self_GoesByTheLogAndNotByGossip)
{
    EXPECT_TRUE(judge({ member("self", 1, 0) }, 101).inForce);
}
