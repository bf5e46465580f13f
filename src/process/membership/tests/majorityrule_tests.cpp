#include "process/membership/internal/majorityrule.h"

#include <gtest/gtest.h>

using namespace nutmegplank;
using namespace nutmegplank::process::membership;

namespace {

constexpr auto BOUND = std::chrono::seconds(4);
const auto NOW = base::TimePoint(std::chrono::seconds(100));

//! A view of "self" and others that were heard the given seconds ago; below zero means never.
auto viewOf(std::initializer_list<int> heardSecondsAgo) -> MemberView
{
    auto view = MemberView();
    auto self = Member();
    self.id = "self";
    view.members.push_back(self);
    for (const auto ago : heardSecondsAgo) {
        auto other = Member();
        other.id = "other" + std::to_string(view.members.size());
        other.configurationVersion = 5;
        if (ago >= 0)
            other.lastHeard = NOW - std::chrono::seconds(ago);
        view.members.push_back(other);
    }
    return view;
}

} // namespace

TEST(MajorityRule, MajorityRule_HearsMajority_CountsOnlyLatelyHeard)
{
    EXPECT_TRUE(hearsMajority(viewOf({ 1, 60 }), "self", NOW, BOUND));
    EXPECT_FALSE(hearsMajority(viewOf({ 1, 60, -1 }), "self", NOW, BOUND));
    EXPECT_FALSE(hearsMajority(viewOf({ 60, 60 }), "self", NOW, BOUND));
}

TEST(MajorityRule, MajorityRule_HearsMajority_CountsTheDeadButNotThoseThatLeft)
{
    auto view = viewOf({ 1, 60, 60 });
    view.members[2].state = MemberState::Dead;
    EXPECT_FALSE(hearsMajority(view, "self", NOW, BOUND));
    view.members[2].state = MemberState::Leaving;
    EXPECT_TRUE(hearsMajority(view, "self", NOW, BOUND));
}

TEST(MajorityRule, MajorityRule_ConfirmsConfiguration_FailsWhenAnyoneHeardIsFresher)
{
    auto view = viewOf({ 1, 1 });
    EXPECT_TRUE(confirmsConfiguration(view, "self", 5, NOW, BOUND));
    EXPECT_FALSE(confirmsConfiguration(view, "self", 4, NOW, BOUND));
    view.members[1].lastHeard = NOW - std::chrono::seconds(9);
    view.members[2].configurationVersion = 4;
    EXPECT_TRUE(confirmsConfiguration(view, "self", 4, NOW, BOUND));
}
