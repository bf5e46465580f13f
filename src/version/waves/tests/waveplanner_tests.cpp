#include <gtest/gtest.h>

#include "base/text.h"
#include "version/waves/waveplanner.h"

using namespace nutmegplank;
using namespace nutmegplank::version::waves;
using namespace std::chrono_literals;

namespace {

auto makeInput(std::size_t engines, const std::vector<std::string> &models, std::uint64_t version)
    -> WaveInput
{
    auto input = WaveInput();
    input.now = base::TimePoint(base::Duration(1h));
    for (auto index = std::size_t(0); index < engines; ++index) {
        auto engine = WaveEngine { base::concat("e", index) };
        for (const auto &model : models)
            engine.versions[model] = version;
        input.engines.push_back(engine);
    }
    for (const auto &model : models) {
        input.newestVersions[model] = version + 1;
        input.demand[model] = 1000;
    }
    return input;
}

auto modelCount(const WavePlanner &planner, const WaveInput &input, const std::string &model)
    -> std::size_t
{
    return static_cast<std::size_t>(
        std::ranges::count_if(input.engines, [&](const WaveEngine &engine) {
            return planner.modelOf(engine.id) == model;
        }));
}

} // namespace

TEST(WavePlanner, WavePlanner_NewVersion_LimitsConcurrentLoads)
{
    auto planner = WavePlanner();
    auto input = makeInput(9, { "m" }, 1);
    EXPECT_EQ(planner.decide(input).size(), 2U);
    input.engines[0].loading = true;
    EXPECT_EQ(planner.decide(input).size(), 1U);
    input.engines[1].loading = true;
    EXPECT_TRUE(planner.decide(input).empty());
}

TEST(WavePlanner, WavePlanner_EngineTooOldForPendingWork_LoadsFirst)
{
    auto planner = WavePlanner();
    auto input = makeInput(9, { "m" }, 4);
    input.minimumVersions["m"] = 4;
    input.engines[7].versions["m"] = 3;
    input.engines[7].running = 10;
    const auto orders = planner.decide(input);
    ASSERT_FALSE(orders.empty());
    EXPECT_EQ(orders[0].engine, "e7");
    EXPECT_EQ(orders[0].version, 5U);
}

TEST(WavePlanner, WavePlanner_IdleEngines_LoadBeforeBusyOnes)
{
    auto planner = WavePlanner();
    auto input = makeInput(5, { "m" }, 1);
    for (auto &engine : input.engines)
        engine.running = 8;
    input.engines[3].running = 0;
    EXPECT_EQ(planner.decide(input)[0].engine, "e3");
}

TEST(WavePlanner, WavePlanner_ThreeModels_EachEngineLoadsOneModel)
{
    auto planner = WavePlanner();
    auto input = makeInput(8, { "a", "b", "c" }, 1);
    auto loaded = 0;
    for (auto round = 0; round < 40; ++round) {
        input.now += 100ms;
        for (const auto &order : planner.decide(input)) {
            ++loaded;
            for (auto &engine : input.engines) {
                if (engine.id == order.engine)
                    engine.versions[order.model] = order.version;
            }
        }
    }
    EXPECT_EQ(loaded, 8);
    EXPECT_GE(modelCount(planner, input, "a"), 2U);
    EXPECT_GE(modelCount(planner, input, "b"), 2U);
    EXPECT_GE(modelCount(planner, input, "c"), 2U);
}

TEST(WavePlanner, WavePlanner_DemandShifts_EnginesAreReassigned)
{
    auto planner = WavePlanner();
    auto input = makeInput(8, { "a", "b" }, 1);
    planner.decide(input);
    EXPECT_EQ(modelCount(planner, input, "a"), 4U);
    input.demand = { { "a", 9000.0 }, { "b", 1000.0 } };
    for (auto round = 0; round < 300; ++round) {
        input.now += 200ms;
        planner.decide(input);
    }
    EXPECT_GE(modelCount(planner, input, "a"), 6U);
    EXPECT_GE(modelCount(planner, input, "b"), 1U);
}

TEST(WavePlanner, WavePlanner_PauseBetweenSteps_ReassignsNoEngine)
{
    auto planner = WavePlanner();
    auto input = makeInput(8, { "a", "b" }, 1);
    for (auto round = 0; round < 60; ++round) {
        input.now += 200ms;
        planner.decide(input);
    }
    const auto before = modelCount(planner, input, "a");
    input.demand = { { "b", 1000.0 } };
    for (auto round = 0; round < 10; ++round) {
        input.now += 200ms;
        planner.decide(input);
    }
    EXPECT_EQ(modelCount(planner, input, "a"), before);
}
