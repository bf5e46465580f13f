#include <numeric>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "fairness.h"
#include "scenario.h"

using namespace nutmegplank;
using namespace nutmegplank::app::bench;

namespace {

auto makeInput() -> ScenarioInput
{
    auto input = ScenarioInput {};
    input.engineService = "engine";
    input.orderPath = "/orders";
    for (const auto *name : { "a", "b", "c", "d", "e", "f" })
        input.workspaces.push_back({ name, "key", 1 });
    input.zone = "z";
    input.duration = std::chrono::seconds(60);
    return input;
}

} // namespace

TEST(Bench, Scenario_EveryOneHasLoadAndOrderedActions)
{
    const auto input = makeInput();
    for (const auto &name : SCENARIO_NAMES) {
        const auto scenario = makeScenario(name.value, input);
        EXPECT_FALSE(scenario.trainers.empty()) << name.name;
        EXPECT_FALSE(scenario.orders.empty()) << name.name;
        EXPECT_GT(scenario.trainers.front().weightsEveryMs, 0U) << name.name;
        auto last = base::Duration(0);
        for (const auto &action : scenario.actions) {
            EXPECT_GE(action.at, last) << name.name;
            EXPECT_LT(action.at, input.duration) << name.name;
            last = action.at;
        }
    }
}

TEST(Bench, Fairness_WhatOneLeavesGoesToTheOthers)
{
    const auto services = std::vector<WorkspaceService> { { "small", 1, 10, 10 },
                                                          { "greedy", 1, 1000, 80 },
                                                          { "starved", 1, 1000, 20 } };
    EXPECT_EQ(dueAmounts(services), (std::vector<double> { 10, 50, 50 }));
    EXPECT_EQ(worstServed(services).workspace, "starved");
    EXPECT_DOUBLE_EQ(worstServed(services).share, 0.4);
}

TEST(Bench, Fairness_NothingServedIsTheWorst)
{
    EXPECT_DOUBLE_EQ(worstServed({ { "a", 1, 10, 0 }, { "b", 1, 10, 0 } }).share, 0);
}

RC_GTEST_PROP(Bench, Fairness_DuesAddUpAndStayBelowDemand, ())
{
    auto services = std::vector<WorkspaceService>();
    const auto count = *rc::gen::inRange(1, 6);
    for (auto index = 0; index < count; ++index) {
        const auto demand = *rc::gen::inRange(1, 100);
        const auto served = *rc::gen::inRange(0, demand + 1);
        const auto weight = *rc::gen::inRange(1, 5);
        services.push_back({ "w", double(weight), double(demand), double(served) });
    }
    const auto due = dueAmounts(services);
    auto served = 0.0;
    for (auto index = std::size_t(0); index < services.size(); ++index) {
        RC_ASSERT(due[index] <= services[index].demand + 1e-6);
        served += services[index].served;
    }
    RC_ASSERT(std::abs(std::accumulate(due.begin(), due.end(), 0.0) - served) < 1e-6);
}
