#include <gtest/gtest.h>

#include "process/capacity/capacityplanner.h"

using namespace nutmegplank;
using namespace nutmegplank::process::capacity;
using namespace std::chrono_literals;

namespace {

const auto START = base::TimePoint(base::Duration(1h));

auto makeInput(std::vector<std::uint32_t> ready, base::TimePoint now) -> CapacityInput
{
    auto input = CapacityInput();
    input.service = "quote";
    input.zones = { { "a", ready[0], 0, 0, 1.0 },
                    { "b", ready[1], 0, 0, 0.8 },
                    { "c", ready[2], 0, 0, 1.25 } };
    input.most = 6;
    input.now = now;
    return input;
}

} // namespace

TEST(CapacityPlanner, CapacityPlanner_NothingMissing_OrdersNothing)
{
    auto planner = CapacityPlanner();
    EXPECT_FALSE(planner.decide(makeInput({ 3, 3, 3 }, START)).has_value());
    EXPECT_FALSE(planner.decide(makeInput({ 3, 3, 3 }, START + 5s)).has_value());
}

TEST(CapacityPlanner, CapacityPlanner_ZoneReclaimed_OrdersInTheCheapestOtherZone)
{
    auto planner = CapacityPlanner();
    planner.decide(makeInput({ 3, 3, 3 }, START));
    EXPECT_FALSE(planner.decide(makeInput({ 0, 3, 3 }, START + 1s)).has_value());
    const auto order = planner.decide(makeInput({ 0, 3, 3 }, START + 3s));
    ASSERT_TRUE(order.has_value());
    EXPECT_EQ(order->zone, "b");
    EXPECT_EQ(order->count, 6U);
    planner.noteTaken(*order, START + 3s);
    EXPECT_FALSE(planner.decide(makeInput({ 0, 3, 3 }, START + 4s)).has_value());
}

TEST(CapacityPlanner, CapacityPlanner_NoneToBeHad_TriesTheNextZone)
{
    auto planner = CapacityPlanner();
    planner.decide(makeInput({ 3, 3, 3 }, START));
    planner.decide(makeInput({ 3, 0, 3 }, START + 1s));
    const auto first = planner.decide(makeInput({ 3, 0, 3 }, START + 3s));
    ASSERT_TRUE(first.has_value());
    EXPECT_EQ(first->zone, "b");
    planner.noteRefused(*first, START + 3s);
    const auto second = planner.decide(makeInput({ 3, 0, 3 }, START + 4s));
    ASSERT_TRUE(second.has_value());
    EXPECT_EQ(second->zone, "a");
}

TEST(CapacityPlanner, CapacityPlanner_BoundOfAZone_IsKept)
{
    auto planner = CapacityPlanner();
    planner.decide(makeInput({ 6, 6, 6 }, START));
    planner.decide(makeInput({ 6, 5, 0 }, START + 1s));
    const auto order = planner.decide(makeInput({ 6, 5, 0 }, START + 3s));
    ASSERT_TRUE(order.has_value());
    EXPECT_LE(order->count, 6U);
}

//! Whole zones of cheap servers go with a notice of two to three seconds, a new server takes four:
//! waiting for the loss would leave the callers with too few servers for longer.
TEST(CapacityPlanner, CapacityPlanner_AnnouncedLoss_IsReplacedAtOnceWithServersThatStay)
{
    auto planner = CapacityPlanner();
    auto input = makeInput({ 1, 3, 3 }, START);
    input.zones[0].reclaimable = 4;
    EXPECT_FALSE(planner.decide(input).has_value());
    input.zones[0].reclaimable = 0;
    input.zones[0].leaving = 4;
    input.now = START + 100ms;
    const auto first = planner.decide(input);
    ASSERT_TRUE(first.has_value());
    EXPECT_EQ(first->zone, "b");
    EXPECT_EQ(first->count, 6U);
    planner.noteTaken(*first, input.now);
    const auto second = planner.decide(input);
    ASSERT_TRUE(second.has_value());
    EXPECT_EQ(second->zone, "a");
    EXPECT_EQ(second->count, 2U);
    planner.noteTaken(*second, input.now);
    EXPECT_FALSE(planner.decide(input).has_value());
}

//! Servers that are replaced one after the other come back by themselves.
TEST(CapacityPlanner, CapacityPlanner_LossWithoutNotice_IsNotReplacedBeforeItLasts)
{
    auto planner = CapacityPlanner();
    planner.decide(makeInput({ 3, 3, 3 }, START));
    EXPECT_FALSE(planner.decide(makeInput({ 2, 3, 3 }, START + 1s)).has_value());
    EXPECT_FALSE(planner.decide(makeInput({ 3, 3, 3 }, START + 2s)).has_value());
    EXPECT_FALSE(planner.decide(makeInput({ 3, 2, 3 }, START + 3s)).has_value());
}

//! A lost answer hides whether servers come. An order in another zone could double them.
TEST(CapacityPlanner, CapacityPlanner_OrderWithoutAnswer_IsRepeatedInItsZoneAndNeverShrinksIt)
{
    auto planner = CapacityPlanner();
    planner.decide(makeInput({ 0, 3, 3 }, START));
    auto input = makeInput({ 0, 1, 3 }, START + 1s);
    input.zones[1].leaving = 2;
    const auto order = planner.decide(input);
    ASSERT_TRUE(order.has_value());
    planner.noteUnanswered(*order, input.now);
    EXPECT_FALSE(planner.decide(input).has_value());
    input.now += 1s;
    const auto repeated = planner.decide(input);
    ASSERT_TRUE(repeated.has_value());
    EXPECT_EQ(repeated->zone, order->zone);
    EXPECT_EQ(repeated->count, order->count);
    planner.noteUnanswered(*repeated, input.now);
    input.now += 1s;
    input.zones[1].ready = order->count + 1;
    EXPECT_FALSE(planner.decide(input).has_value());
}

//! A zone that is empty for some seconds has servers again soon after; it is asked less and less
//! often, so that calls of other duties find their rate.
TEST(CapacityPlanner, CapacityPlanner_ZoneWithoutServers_IsAskedWithGrowingPauses)
{
    auto planner = CapacityPlanner();
    auto input = makeInput({ 3, 0, 0 }, START);
    input.zones.resize(1);
    planner.decide(input);
    input.zones[0].ready = 1;
    input.zones[0].leaving = 2;
    auto asked = std::vector<base::Duration>();
    for (input.now = START; input.now < START + 12s; input.now += 500ms) {
        const auto order = planner.decide(input);
        if (!order.has_value())
            continue;
        asked.push_back(input.now - START);
        planner.noteRefused(*order, input.now);
    }
    EXPECT_EQ(asked, (std::vector<base::Duration> { 0s, 1s, 3s, 7s, 11s }));
}

//! The holder changes while servers are missing: the next one has seen how many there were.
TEST(CapacityPlanner, CapacityPlanner_MachineThatTakesOverDuringALoss_RestoresTheUsualNumber)
{
    auto planner = CapacityPlanner();
    planner.observe(makeInput({ 3, 3, 3 }, START));
    planner.observe(makeInput({ 3, 0, 3 }, START + 1s));
    EXPECT_FALSE(planner.decide(makeInput({ 3, 0, 3 }, START + 2s)).has_value());
    const auto order = planner.decide(makeInput({ 3, 0, 3 }, START + 4s));
    ASSERT_TRUE(order.has_value());
    EXPECT_EQ(order->count, 3U);
}
