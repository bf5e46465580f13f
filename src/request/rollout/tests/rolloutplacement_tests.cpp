#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "request/rollout/placement.h"

using namespace nutmegplank;
using namespace nutmegplank::request::rollout;

namespace {

auto makeEngine(const std::string &id, std::uint32_t slots, std::uint64_t version = 5) -> EngineLoad
{
    auto engine = EngineLoad();
    engine.id = id;
    engine.service = "engines";
    engine.slots = slots;
    engine.startsLeft = 1000;
    engine.modelVersion["m"] = version;
    return engine;
}

const auto ROUTE = [] {
    auto route = version::routing::Route();
    route.services = { { "engines", 1.0 }, { "retired", 0.0 } };
    return route;
}();

auto makeItem(std::size_t handle, std::uint64_t expected) -> WaitingItem
{
    auto item = WaitingItem();
    item.handle = handle;
    item.model = "m";
    item.minVersion = 4;
    item.expectedTokens = expected;
    item.contextTokens = 271;
    item.route = &ROUTE;
    return item;
}

} // namespace

TEST(RolloutPlacement, RolloutPlacement_FewSlots_LongestItemsArePlacedFirst)
{
    auto engines = std::vector<EngineLoad> { makeEngine("a", 1), makeEngine("b", 1) };
    const auto placed =
        placeItems({ makeItem(0, 100), makeItem(1, 5000), makeItem(2, 900) }, engines);
    ASSERT_EQ(placed.size(), 2U);
    EXPECT_EQ(placed[0].handle, 1U);
    EXPECT_EQ(placed[1].handle, 2U);
}

TEST(RolloutPlacement, RolloutPlacement_StepOfManyItems_SpreadsOverAllEngines)
{
    auto engines =
        std::vector<EngineLoad> { makeEngine("a", 16), makeEngine("b", 16), makeEngine("c", 16) };
    auto items = std::vector<WaitingItem>();
    for (auto index = std::size_t(0); index < 30; ++index)
        items.push_back(makeItem(index, 200));
    placeItems(items, engines);
    for (const auto &engine : engines)
        EXPECT_EQ(engine.running, 10U);
}

TEST(RolloutPlacement, RolloutPlacement_SlowEngine_GetsFewerItems)
{
    auto engines = std::vector<EngineLoad> { makeEngine("a", 16), makeEngine("slow", 16) };
    engines[1].slowdown = 4.0;
    auto items = std::vector<WaitingItem>();
    for (auto index = std::size_t(0); index < 10; ++index)
        items.push_back(makeItem(index, 200));
    placeItems(items, engines);
    EXPECT_GE(engines[0].running, 8U);
}

TEST(RolloutPlacement, RolloutPlacement_WeightsBelowMinimum_GetNoItems)
{
    auto engines = std::vector<EngineLoad> { makeEngine("old", 16, 3) };
    EXPECT_TRUE(placeItems({ makeItem(0, 100) }, engines).empty());
}

TEST(RolloutPlacement, RolloutPlacement_FullCache_GetsNoItems)
{
    auto engines = std::vector<EngineLoad> { makeEngine("a", 16) };
    engines[0].cacheTokens = 10000;
    engines[0].running = 1;
    engines[0].reservedTokens = 8000;
    EXPECT_TRUE(placeItems({ makeItem(0, 2000) }, engines).empty());
}

TEST(RolloutPlacement, RolloutPlacement_EarlierDeadline_PrecedesLongerItem)
{
    auto engines = std::vector<EngineLoad> { makeEngine("a", 1) };
    auto later = makeItem(0, 5000);
    later.dueAt = base::TimePoint(std::chrono::seconds(20));
    auto earlier = makeItem(1, 100);
    earlier.dueAt = base::TimePoint(std::chrono::seconds(10));
    const auto placed = placeItems({ later, earlier }, engines);
    ASSERT_EQ(placed.size(), 1U);
    EXPECT_EQ(placed[0].handle, 1U);
}

RC_GTEST_PROP(RolloutPlacement, RolloutPlacement_AnyLoad_RespectsSlotsAndStartLimits, ())
{
    auto engines = std::vector<EngineLoad>();
    for (const auto *id : { "a", "b", "c" }) {
        auto engine = makeEngine(id, *rc::gen::inRange(0U, 8U));
        engine.startsLeft = *rc::gen::inRange(0U, 6U);
        engines.push_back(engine);
    }
    const auto before = engines;
    auto items = std::vector<WaitingItem>();
    const auto count = *rc::gen::inRange<std::size_t>(0, 40);
    for (auto index = std::size_t(0); index < count; ++index)
        items.push_back(makeItem(index, *rc::gen::inRange<std::uint64_t>(1, 4000)));
    const auto placed = placeItems(items, engines);
    auto seen = std::set<std::size_t>();
    for (const auto &assignment : placed)
        RC_ASSERT(seen.insert(assignment.handle).second);
    for (auto index = std::size_t(0); index < engines.size(); ++index) {
        RC_ASSERT(engines[index].running <= engines[index].slots);
        RC_ASSERT(engines[index].running - before[index].running <= before[index].startsLeft);
    }
}

TEST(RolloutPlacement, RolloutPlacement_EngineOutsideTheRoute_GetsNoItems)
{
    auto engines =
        std::vector<EngineLoad> { makeEngine("a", 1), makeEngine("b", 1), makeEngine("c", 4) };
    engines[0].service = "retired";
    engines[1].service = "others";
    engines[2].slowdown = 3.0;
    const auto placed = placeItems({ makeItem(0, 100), makeItem(1, 90) }, engines);
    ASSERT_EQ(placed.size(), 2U);
    EXPECT_EQ(placed[0].engine, 2U);
    EXPECT_EQ(placed[1].engine, 2U);
}

TEST(RolloutPlacement, RolloutPlacement_ItemWithoutRoute_IsNotPlaced)
{
    auto engines = std::vector<EngineLoad> { makeEngine("a", 4) };
    auto item = makeItem(0, 100);
    item.route = nullptr;
    EXPECT_TRUE(placeItems({ item }, engines).empty());
}

//! Items that were larger than an engine's memory kept the engine from all others (review/13).
TEST(RolloutPlacement, PlaceItems_SizeRefusedByAnEngine_LeavesItToSmallerItems)
{
    auto engines = std::vector { makeEngine("a", 1) };
    engines[0].refusedSizes = { { 20'000, 20'200, 0 } };
    auto large = makeItem(0, 200);
    large.size = { 25'000, 25'200, 0 };
    auto small = makeItem(1, 100);
    small.size = { 271, 521, 0 };
    const auto assignments = placeItems({ large, small }, engines);
    ASSERT_EQ(assignments.size(), 1U);
    EXPECT_EQ(assignments[0].handle, 1U);
}
