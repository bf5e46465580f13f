#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "process/memory/heldbytes.h"

using namespace nutmegplank::process::memory;

namespace {

constexpr auto LIMIT = std::uint64_t(1000);

} // namespace

TEST(ByteBudget, ByteBudget_MoreThanIsLeft_TakesNothing)
{
    auto budget = ByteBudget(LIMIT);
    EXPECT_TRUE(budget.tryTake(600));
    EXPECT_FALSE(budget.tryTake(401));
    EXPECT_EQ(budget.held(), 600U);
    EXPECT_TRUE(budget.tryTake(400));
}

TEST(ByteBudget, ByteBudget_LimitLoweredBelowWhatIsHeld_TakesNothingMore)
{
    auto budget = ByteBudget(LIMIT);
    EXPECT_TRUE(budget.tryTake(600));
    budget.setLimit(500);
    EXPECT_FALSE(budget.tryTake(1));
    budget.giveBack(200);
    EXPECT_TRUE(budget.tryTake(100));
}

TEST(HeldBytes, HeldBytes_MovedAndEnded_GivesBackOnce)
{
    const auto budget = std::make_shared<ByteBudget>(LIMIT);
    {
        auto first = HeldBytes(budget);
        EXPECT_TRUE(first.resize(700));
        auto second = std::move(first);
        EXPECT_EQ(second.bytes(), 700U);
        EXPECT_EQ(budget->held(), 700U);
    }
    EXPECT_EQ(budget->held(), 0U);
}

RC_GTEST_PROP(HeldBytes, HeldBytes_AnyOrder_NeverOverTheLimitAndAllGivenBack,
              (const std::vector<std::pair<std::uint8_t, std::uint16_t>> &steps))
{
    const auto budget = std::make_shared<ByteBudget>(LIMIT);
    auto holders = std::vector<HeldBytes>();
    for (auto index = 0; index < 4; ++index)
        holders.emplace_back(budget);
    for (const auto &[holder, bytes] : steps) {
        auto &changed = holders[holder % holders.size()];
        const auto before = changed.bytes();
        const auto resized = changed.resize(bytes);
        RC_ASSERT(changed.bytes() == (resized ? bytes : before));
        auto sum = std::uint64_t(0);
        for (const auto &entry : holders)
            sum += entry.bytes();
        RC_ASSERT(budget->held() == sum);
        RC_ASSERT(sum <= LIMIT);
    }
    holders.clear();
    RC_ASSERT(budget->held() == 0U);
}
