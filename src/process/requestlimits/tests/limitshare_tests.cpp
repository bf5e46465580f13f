#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "base/text.h"
#include "process/requestlimits/limitshare.h"

using namespace nutmegplank;
using namespace nutmegplank::process::requestlimits;

namespace {

constexpr auto SERVER = std::uint64_t(42);

auto shareOf(const std::vector<LimitUser> &users, std::size_t index, double perSecond) -> double
{
    return limitShare(SERVER, perSecond, users, users[index].machine);
}

} // namespace

TEST(LimitShare, LimitShare_NoDemandKnown_IsEqual)
{
    const auto users = std::vector<LimitUser> { { "a" }, { "b" }, { "c" }, { "d" } };
    for (auto index = std::size_t(0); index < users.size(); ++index)
        EXPECT_DOUBLE_EQ(shareOf(users, index, 10), 0.25);
}

TEST(LimitShare, LimitShare_OneMachineSendsAll_GetsNearlyAll)
{
    const auto users = std::vector<LimitUser> { { "a" }, { "b", 8 }, { "c" }, { "d" } };
    EXPECT_GT(shareOf(users, 1, 10), 0.85);
    EXPECT_GT(shareOf(users, 0, 10), 0);
}

TEST(LimitShare, LimitShare_MachineWithDemand_IsNotLeftOutOfASmallLimit)
{
    auto users = std::vector<LimitUser>();
    for (auto machine = 0; machine < 95; ++machine)
        users.push_back({ base::concat("edge-", machine) });
    users[37].demand = 1;
    EXPECT_GT(shareOf(users, 37, 1), 0.8);
}

RC_GTEST_PROP(LimitShare, LimitShare_AnyUsers_AddUpToOneAndFewMaySend, ())
{
    const auto count = *rc::gen::inRange(1, 120);
    const auto perSecond = *rc::gen::inRange(0, 400) / 10.0;
    auto users = std::vector<LimitUser>();
    for (auto machine = 0; machine < count; ++machine)
        users.push_back({ base::concat("m", machine), *rc::gen::inRange(0, 30) / 10.0 });
    auto sum = 0.0;
    auto senders = 0;
    for (auto index = std::size_t(0); index < users.size(); ++index) {
        const auto share = shareOf(users, index, perSecond);
        sum += share;
        senders += share > 0 ? 1 : 0;
    }
    RC_ASSERT(std::abs(sum - 1) < 1e-9);
    // Each of them may send a first request at the same moment, beside the limit itself.
    RC_ASSERT(senders + 4 * perSecond <= 4 * 1.5 * perSecond + 5);
}
