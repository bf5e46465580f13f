#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "version/plan/lostzones.h"
#include "version/plan/planner.h"
#include "version/plan/zonespread.h"

using namespace nutmegplank;
using namespace nutmegplank::version;
using namespace nutmegplank::version::plan;
using configuration::ServiceKind;
using process::inventory::BackendServer;
using process::inventory::ServerView;

namespace {

constexpr auto SECOND = base::Duration(std::chrono::seconds(1));

auto makeInput(ServiceKind kind, std::uint32_t servers, std::uint32_t maxServers) -> PlanInput
{
    auto made = std::make_shared<configuration::Configuration>();
    made->services["quote-gen"] = { "quote-gen", kind };
    for (const auto *zone : { "a", "b", "c" })
        made->zones[zone] = { zone, "wales", false };
    auto preset = configuration::Preset();
    preset.targets.push_back({ "quote-gen", servers, maxServers, 0.5, "", {} });
    made->presets["day"] = preset;
    made->presetInForce = "day";
    auto input = PlanInput();
    input.configuration = made;
    input.servers = std::make_shared<ServerView>();
    return input;
}

auto totalServers(const std::vector<state::PlanTarget> &targets) -> std::uint32_t
{
    auto total = std::uint32_t(0);
    for (const auto &target : targets)
        total += target.ordinary + target.cheap;
    return total;
}

auto liveServers(std::uint32_t count) -> process::inventory::ServerViewPtr
{
    auto view = std::make_shared<ServerView>();
    for (auto index = std::uint32_t(0); index < count; ++index) {
        auto server = BackendServer();
        server.id = std::to_string(index);
        server.service = "quote-gen";
        server.zone = "a";
        view->servers.push_back(server);
    }
    return view;
}

} // namespace

RC_GTEST_PROP(Plan_Spread, IsEvenAndBounded, ())
{
    auto request = SpreadRequest();
    request.service = "s";
    request.servers = *rc::gen::inRange<std::uint32_t>(0, 60);
    request.mostServers = request.servers + *rc::gen::inRange<std::uint32_t>(0, 60);
    request.cheapShare = *rc::gen::inRange(0, 101) / 100.0;
    request.zoneHeadroom = *rc::gen::arbitrary<bool>();
    const auto zones = *rc::gen::inRange(1, 6);
    for (auto zone = 0; zone < zones; ++zone)
        request.zones.insert(std::to_string(zone));
    request.allZones = request.zones.size() + *rc::gen::inRange<std::size_t>(0, 3);
    const auto targets = spreadOverZones(request);
    auto total = std::uint32_t(0);
    auto cheap = std::uint32_t(0);
    auto smallest = std::numeric_limits<std::uint32_t>::max();
    auto largest = std::uint32_t(0);
    for (const auto &target : targets) {
        const auto zoneTotal = target.ordinary + target.cheap;
        total += zoneTotal;
        cheap += target.cheap;
        smallest = std::min(smallest, zoneTotal);
        largest = std::max(largest, zoneTotal);
        RC_ASSERT(target.ordinary <= total); // No wrap-around of the unsigned difference.
    }
    RC_ASSERT(targets.size() == request.zones.size());
    RC_ASSERT(largest - smallest <= 1U);
    RC_ASSERT(total >= request.servers && total <= request.mostServers);
    RC_ASSERT(cheap <= total * request.cheapShare + 1e-6);
    const auto hasRoom = request.zoneHeadroom && request.mostServers >= 2 * request.servers + 6;
    if (hasRoom && request.zones.size() == request.allZones && request.allZones > 1)
        RC_ASSERT(total - largest >= request.servers);
}

TEST(Plan_Planner, NoPresetGivesNoPlan)
{
    auto input = makeInput(ServiceKind::Plain, 3, 3);
    auto without = std::make_shared<configuration::Configuration>(*input.configuration);
    without->presetInForce.clear();
    input.configuration = without;
    EXPECT_FALSE(Planner({}).plan(input).has_value());
}

TEST(Plan_Planner, CheapOnlyForEngines)
{
    for (const auto kind : { ServiceKind::Engine, ServiceKind::Plain }) {
        auto cheap = std::uint32_t(0);
        for (const auto &target : *Planner({}).plan(makeInput(kind, 6, 6)))
            cheap += target.cheap;
        EXPECT_EQ(cheap, kind == ServiceKind::Engine ? 3U : 0U);
    }
}

TEST(Plan_Planner, OutOfServiceZoneGetsNoServersAndOthersKeepTheNumber)
{
    auto input = makeInput(ServiceKind::Plain, 4, 12);
    const auto before = *Planner({}).plan(input);
    EXPECT_EQ(totalServers(before), 6U); // Four must remain when one of three zones fails.
    auto changed = std::make_shared<configuration::Configuration>(*input.configuration);
    changed->zones["b"].out = true;
    input.configuration = changed;
    const auto after = *Planner({}).plan(input);
    EXPECT_EQ(totalServers(after), 4U);
    for (const auto &target : after)
        EXPECT_NE(target.zone, "b");
}

TEST(Plan_Planner, LostZoneKeepsItsTarget)
{
    auto input = makeInput(ServiceKind::Engine, 6, 6);
    input.loggedPlan.targets = *Planner({}).plan(input);
    input.lostZones = { "a" };
    const auto after = *Planner({}).plan(input);
    EXPECT_EQ(totalServers(after), 8U); // Six in the other zones, and the two that may come back.
}

TEST(Plan_Planner, GrowsUnderLastingOverloadAndShrinksSlowly)
{
    auto policy = PlanPolicy();
    auto planner = Planner(policy);
    auto input = makeInput(ServiceKind::Engine, 4, 8);
    auto size = std::uint32_t(0);
    const auto step = [&](double queued, double running) {
        input.loads["quote-gen"] = { queued, running, 40 };
        input.servers = liveServers(std::max(size, 4U));
        size = totalServers(*planner.plan(input));
        input.now += SECOND;
    };
    step(100, 40);
    EXPECT_EQ(size, 4U); // A short overload does not grow the service.
    for (auto second = 0; second < 60; ++second)
        step(100, 40);
    EXPECT_EQ(size, 8U);
    for (auto second = 0; second < 30; ++second)
        step(0, 1);
    EXPECT_EQ(size, 8U); // Low load must last before the service shrinks.
    for (auto second = 0; second < 200; ++second)
        step(0, 1);
    EXPECT_EQ(size, 4U);
}

// A planner that starts from the logged plan without load data must not change the total; otherwise
// each takeover would create or release servers.
RC_GTEST_PROP(Plan_Planner, TakeoverKeepsTotal, ())
{
    const auto kind = *rc::gen::element(ServiceKind::Engine, ServiceKind::Plain);
    const auto servers = *rc::gen::inRange<std::uint32_t>(1, 20);
    auto input = makeInput(kind, servers, servers + *rc::gen::inRange<std::uint32_t>(0, 20));
    auto first = Planner({});
    for (auto second = 0; second < *rc::gen::inRange(1, 60); ++second) {
        input.loads["quote-gen"] = { *rc::gen::element(0.0, 500.0), 30, 40 };
        input.servers = liveServers(servers);
        input.loggedPlan.targets = *first.plan(input);
        input.now += SECOND;
    }
    input.loads.clear();
    const auto afterTakeover = *Planner({}).plan(input);
    RC_ASSERT(totalServers(afterTakeover) == totalServers(input.loggedPlan.targets));
}

TEST(Plan_LostZones, NeedTwoDeadServersAndNoneAlive)
{
    const auto view = liveServers(2);
    auto loads = process::reports::ServerLoads();
    loads["0"].alive = false;
    EXPECT_TRUE(lostZones(*view, loads).empty());
    loads["1"].alive = false;
    EXPECT_EQ(lostZones(*view, loads), std::set<std::string> { "a" });
    loads["1"].alive = true;
    EXPECT_TRUE(lostZones(*view, loads).empty());
}
