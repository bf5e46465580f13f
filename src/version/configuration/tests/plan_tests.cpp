#include "version/configuration/plan.h"

#include <boost/json.hpp>
#include <gtest/gtest.h>
#include <rapidcheck.h>

using namespace nutmegplank::version::configuration;

namespace {

auto hashOf(int number) -> std::string
{
    return std::string(63, 'a') + "0123456789abcdef"[number];
}

//! A configuration whose references all hold.
auto anyConfiguration() -> Configuration
{
    auto configuration = Configuration();
    const auto range = [](int most) { return *rc::gen::inRange(0, most); };
    for (auto index = 0; index < range(4); ++index) {
        auto service = Service();
        service.name = "s" + std::to_string(index);
        service.warmLimit = 1 + static_cast<std::uint32_t>(range(3));
        configuration.services[service.name] = service;
        auto preset = Preset();
        preset.name = "p" + std::to_string(range(3));
        preset.targets.push_back(
            ServiceTarget { service.name, 1, 1, range(3) / 2.0, "m", { "x" } });
        configuration.presets[preset.name] = preset;
        configuration.presetInForce = preset.name;
    }
    for (auto index = 0; index < range(4); ++index) {
        const auto name = "w" + std::to_string(index);
        configuration.workspaces[name] =
            Workspace { name, 1 + static_cast<std::uint32_t>(range(3)) };
        const auto id = "k" + std::to_string(index);
        configuration.keys[id] = Key { id, name, hashOf(index), range(2) == 1 };
    }
    for (auto index = 0; index < range(4); ++index) {
        const auto name = "z" + std::to_string(index);
        configuration.zones[name] = Zone { name, "r", range(2) == 1 };
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

auto keyChange(bool before, bool after) -> std::string
{
    auto inForce = Configuration();
    inForce.workspaces["w"] = Workspace { "w", 1 };
    inForce.keys["k"] = Key { "k", "w", hashOf(0), before };
    auto declared = inForce;
    declared.keys["k"].withdrawn = after;
    return planChanges(inForce, declared).at(0).effect;
}

} // namespace

TEST(Plan, Plan_Changes_MakeWhatIsInForceEqualToWhatIsDeclared)
{
    EXPECT_TRUE(rc::check([] {
        const auto inForce = anyConfiguration();
        const auto declared = anyConfiguration();
        const auto changes = changesOf(planChanges(inForce, declared));
        // Through the form that stands in the log.
        const auto logged = parseChanges(toJson(changes), "changes");
        RC_ASSERT(logged.ok());
        const auto applied = applyChanges(inForce, *logged, 7);
        RC_ASSERT(applied.ok());
        RC_ASSERT(toJson(*applied) == toJson(declared));
        RC_ASSERT(applied->version == 7U);
        RC_ASSERT(applied->keysByHash.size() == declared.keys.size());
        RC_ASSERT(planChanges(*applied, declared).empty());
    }));
}

TEST(Plan, Plan_Effect_SaysWhatAWithdrawnKeyCutsAndWhatComesBack)
{
    EXPECT_NE(keyChange(false, true).find("cuts running requests of workspace w"),
              std::string::npos);
    EXPECT_NE(keyChange(true, false).find("work again"), std::string::npos);
}

TEST(Plan, Plan_Apply_RefusesAChangeThatBreaksAReferenceAndChangesNothing)
{
    auto inForce = Configuration();
    inForce.workspaces["w"] = Workspace { "w", 1 };
    inForce.keys["k"] = Key { "k", "w", hashOf(0), false };
    const auto change = Change { ObjectKind::Workspace, "w", nullptr };
    EXPECT_FALSE(applyChanges(inForce, { &change, 1 }, 2).ok());
}
