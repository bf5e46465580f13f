// Load: two engines slow down several times while a training step waits for its longest items. Runs
// that are cut there although no other engine has room for them come back to the same engine,
// process their context again, and are not moved later, when there is room.
#include <gtest/gtest.h>

#include "request/rollout/moveplan.h"

using namespace nutmegplank;
using namespace nutmegplank::request::rollout;
using namespace std::chrono_literals;

namespace {

const auto ROUTE = [] {
    auto route = version::routing::Route();
    route.services = { { "engines", 1.0 } };
    return route;
}();

auto makeEngine(double slowdown, std::uint32_t running) -> EngineLoad
{
    auto engine = EngineLoad();
    engine.id = slowdown > 1.0 ? "slow" : "fast";
    engine.service = "engines";
    engine.slots = 12;
    engine.running = running;
    engine.cacheTokens = 37'000;
    engine.slowdown = slowdown;
    engine.startsLeft = 100;
    engine.modelVersion["m"] = 5;
    return engine;
}

auto makeRunning(std::size_t handle, std::uint64_t expectedTokens) -> RunningItem
{
    auto running = RunningItem();
    running.item.handle = handle;
    running.item.model = "m";
    running.item.expectedTokens = expectedTokens;
    running.item.contextTokens = 271;
    running.item.route = &ROUTE;
    running.slowdown = 4.0;
    running.runTime = 1500ms;
    return running;
}

} // namespace

TEST(MovePlan, MovePlan_SlowEngine_LosesItsLongestItemsFirst)
{
    auto engines = std::vector<EngineLoad> { makeEngine(1.0, 11) };
    EXPECT_EQ(
        planMoves({ makeRunning(1, 900), makeRunning(2, 9000), makeRunning(3, 2000) }, engines),
        std::vector<std::size_t> { 2 });
}

TEST(MovePlan, MovePlan_NoCacheElsewhere_ItemsStayUntilThereIsRoom)
{
    auto engines = std::vector<EngineLoad> { makeEngine(1.0, 4) };
    engines[0].reservedTokens = 25'000;
    EXPECT_TRUE(planMoves({ makeRunning(1, 9000) }, engines).empty());
    engines[0].reservedTokens = 20'000;
    EXPECT_EQ(planMoves({ makeRunning(1, 9000) }, engines).size(), 1U);
}

TEST(MovePlan, MovePlan_RoomForOne_MovesOne)
{
    auto engines = std::vector<EngineLoad> { makeEngine(1.0, 6) };
    engines[0].reservedTokens = 12'000;
    EXPECT_EQ(
        planMoves({ makeRunning(1, 9000), makeRunning(2, 9100), makeRunning(3, 9200) }, engines)
            .size(),
        2U);
}

TEST(MovePlan, MovePlan_OnlySlowEnginesFree_NothingIsMoved)
{
    auto engines = std::vector<EngineLoad> { makeEngine(3.0, 0) };
    EXPECT_TRUE(planMoves({ makeRunning(1, 9000) }, engines).empty());
}

TEST(MovePlan, MovePlan_ShortOrYoungOrFastRuns_Stay)
{
    auto engines = std::vector<EngineLoad> { makeEngine(1.0, 0) };
    auto young = makeRunning(1, 9000);
    young.runTime = 100ms;
    auto fast = makeRunning(2, 9000);
    fast.slowdown = 1.5;
    EXPECT_TRUE(planMoves({ young, fast, makeRunning(3, 300) }, engines).empty());
}

TEST(MovePlan, MovePlan_ItemPlacedAtTheSameEngineAgain_IsMovedLater)
{
    auto engines = std::vector<EngineLoad> { makeEngine(1.0, 0) };
    auto returned = makeRunning(1, 9000);
    returned.movedBefore = true;
    returned.runTime = 500ms;
    EXPECT_TRUE(planMoves({ returned }, engines).empty());
    returned.runTime = 1500ms;
    EXPECT_EQ(planMoves({ returned }, engines).size(), 1U);
}
