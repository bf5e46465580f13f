#include "version/configuration/plan.h"

#include <boost/json.hpp>
#include <gtest/gtest.h>
#include <rapidcheck.h>

using namespace nutmegplank::version::configuration;

namespace {

auto keyHash(int number) -> std::string
{
    return std::string(63, 'a') + "0123456789abcdef"[number];
}

//! Generates a random configuration in which every reference is valid.
auto randomConfiguration() -> Configuration
{
    auto configuration = Configuration();
    const auto randomBelow = [](int limit) { return *rc::gen::inRange(0, limit); };
    for (auto index = 0; index < randomBelow(4); ++index) {
        auto service = Service();
        service.name = "s" + std::to_string(index);
        service.warmLimit = 1 + static_cast<std::uint32_t>(randomBelow(3));
        configuration.services[service.name] = service;
        auto preset = Preset();
        preset.name = "p" + std::to_string(randomBelow(3));
        preset.targets.push_back(
            ServiceTarget { service.name, 1, 1, randomBelow(3) / 2.0, "m", { "x" } });
        configuration.presets[preset.name] = preset;
        configuration.presetInForce = preset.name;
    }
    for (auto index = 0; index < randomBelow(4); ++index) {
        const auto name = "w" + std::to_string(index);
        configuration.workspaces[name] =
            Workspace { name, 1 + static_cast<std::uint32_t>(randomBelow(3)) };
        const auto id = "k" + std::to_string(index);
        configuration.keys[id] = Key { id, name, keyHash(index), randomBelow(2) == 1 };
    }
    for (auto index = 0; index < randomBelow(4); ++index) {
        const auto name = "z" + std::to_string(index);
        configuration.zones[name] = Zone { name, "r", randomBelow(2) == 1 };
    }
    rebuildIndexes(configuration);
    return configuration;
}

auto changesOf(const std::vector<PlannedChange> &planned) -> std::vector<Change>
{
    auto changes = std::vector<Change>();
    for (const auto &entry : planned)
        changes.push_back(entry.change);
    return changes;
}

auto effectOfKeyChange(bool withdrawnBefore, bool withdrawnAfter) -> std::string
{
    auto current = Configuration();
    current.workspaces["w"] = Workspace { "w", 1 };
    current.keys["k"] = Key { "k", "w", keyHash(0), withdrawnBefore };
    auto declared = current;
    declared.keys["k"].withdrawn = withdrawnAfter;
    return planChanges(current, declared).at(0).effect;
}

} // namespace

TEST(Plan, Plan_Changes_TurnCurrentIntoDeclared)
{
    EXPECT_TRUE(rc::check([] {
        const auto current = randomConfiguration();
        const auto declared = randomConfiguration();
        const auto changes = changesOf(planChanges(current, declared));
        // Converts through the JSON form that the log stores.
        const auto parsed = parseChanges(toJson(changes), "changes");
        RC_ASSERT(parsed.ok());
        const auto applied = applyChanges(current, *parsed, 7);
        RC_ASSERT(applied.ok());
        RC_ASSERT(toJson(*applied) == toJson(declared));
        RC_ASSERT(applied->version == 7U);
        RC_ASSERT(applied->keysByHash.size() == declared.keys.size());
        RC_ASSERT(planChanges(*applied, declared).empty());
    }));
}

TEST(Plan, Plan_Effect_DescribesWithdrawingAndRestoringAKey)
{
    EXPECT_NE(effectOfKeyChange(false, true).find("cuts running requests of workspace w"),
              std::string::npos);
    EXPECT_NE(effectOfKeyChange(true, false).find("work again"), std::string::npos);
}

TEST(Plan, Plan_Apply_RejectsAChangeThatBreaksAReference)
{
    auto current = Configuration();
    current.workspaces["w"] = Workspace { "w", 1 };
    current.keys["k"] = Key { "k", "w", keyHash(0), false };
    const auto change = Change { ObjectKind::Workspace, "w", nullptr };
    EXPECT_FALSE(applyChanges(current, { &change, 1 }, 2).ok());
}
