#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "base/enumtable.h"
#include "load/orderclient.h"
#include "load/trainerclient.h"

//! nutmegplank-bench: named loads with faults at set times, and the figures that they give.
namespace nutmegplank::app::bench {

enum class ScenarioName {
    OrdinaryDay,
    Peak,
    ZoneReclaimed,
    ZoneOutAndBack,
    AllCold,
    FastWeights,
    LongStragglers,
    GreedyWorkspace,
    LogOutage,
    RollingReplacement,
    KillerRequest,
};

constexpr auto SCENARIO_NAMES = base::EnumTable<ScenarioName, 11> { {
    { ScenarioName::OrdinaryDay, "ordinary_day" },
    { ScenarioName::Peak, "peak" },
    { ScenarioName::ZoneReclaimed, "zone_reclaimed" },
    { ScenarioName::ZoneOutAndBack, "zone_out_and_back" },
    { ScenarioName::AllCold, "all_cold" },
    { ScenarioName::FastWeights, "fast_weights" },
    { ScenarioName::LongStragglers, "long_stragglers" },
    { ScenarioName::GreedyWorkspace, "greedy_workspace" },
    { ScenarioName::LogOutage, "log_outage" },
    { ScenarioName::RollingReplacement, "rolling_replacement" },
    { ScenarioName::KillerRequest, "killer_request" },
} };

//! A customer whose load is made.
struct BenchWorkspace
{
    std::string name;
    std::string key;
    std::uint32_t weight = 1;
};

//! Whom an action reaches.
enum class ActionTarget {
    Log,
    Cloud,
    Engines, //!< All of them.
    Plains,  //!< All of them.
    Starter, //!< Whoever started the bench: it reads the mark on standard output and acts.
};

//! Something that happens at a set time.
struct Action
{
    base::Duration at {};
    ActionTarget target = ActionTarget::Starter;
    std::string body; //!< JSON for the control endpoint, or the mark.
};

//! What scenarios are made from.
struct ScenarioInput
{
    std::string engineService;
    std::string orderPath;
    std::vector<BenchWorkspace> workspaces;
    std::string zone; //!< The one that goes.
    base::Duration duration {};
    double scale = 1; //!< Factor on all load.
};

//! A load with its faults.
struct Scenario
{
    std::vector<load::TrainerPlan> trainers;
    std::vector<load::OrderPlan> orders;
    std::vector<Action> actions; //!< In order of time.
};

//! The scenario called \a name; the same input gives the same load.
auto makeScenario(ScenarioName name, const ScenarioInput &input) -> Scenario;

} // namespace nutmegplank::app::bench
