#include "benchsettings.h"

#include "base/text.h"
#include "process/settings/settings.h"

namespace nutmegplank::app::bench {

namespace {

constexpr auto RUN_TIMES = base::DurationRange { std::chrono::seconds(2), std::chrono::hours(2) };
constexpr auto USUAL_RUN = base::Duration(std::chrono::seconds(30));
constexpr auto WINDOW_TIMES =
    base::DurationRange { std::chrono::seconds(1), std::chrono::hours(1) };
constexpr auto USUAL_WINDOW = base::Duration(std::chrono::seconds(10));
constexpr auto PIDS = base::IntegerRange { 1, std::numeric_limits<std::int32_t>::max() };
constexpr auto SEEDS = base::IntegerRange { 0, 1'000'000'000 };
constexpr auto WEIGHTS = base::IntegerRange { 1, 1'000'000 };

auto readWorkspaces(base::ObjectReader &reader) -> std::vector<BenchWorkspace>
{
    auto workspaces = std::vector<BenchWorkspace>();
    for (auto &nested : reader.objects("workspaces")) {
        auto workspace = BenchWorkspace {};
        workspace.name = nested.string("name");
        workspace.key = nested.string("key");
        workspace.weight = static_cast<std::uint32_t>(nested.integer("weight", WEIGHTS, 1));
        reader.absorb(nested);
        workspaces.push_back(std::move(workspace));
    }
    if (workspaces.empty())
        reader.fail("workspaces", "must name one workspace at least");
    return workspaces;
}

auto readControls(base::ObjectReader &reader) -> ControlEndpoints
{
    auto nested = reader.object("controls");
    auto controls = ControlEndpoints {};
    controls.log = nested.string("log", "");
    controls.cloud = nested.string("cloud", "");
    controls.usage = nested.string("usage", "");
    if (nested.has("engines"))
        controls.engines = nested.strings("engines");
    if (nested.has("plains"))
        controls.plains = nested.strings("plains");
    reader.absorb(nested);
    return controls;
}

auto readProcesses(base::ObjectReader &reader) -> std::vector<WatchedProcess>
{
    auto processes = std::vector<WatchedProcess>();
    for (auto &nested : reader.objects("processes")) {
        auto process = WatchedProcess {};
        process.name = nested.string("name");
        process.pid = static_cast<std::int32_t>(nested.integer("pid", PIDS));
        reader.absorb(nested);
        processes.push_back(std::move(process));
    }
    return processes;
}

auto readScenario(base::ObjectReader &reader) -> ScenarioName
{
    const auto scenario = valueOf(SCENARIO_NAMES, reader.string("scenario"));
    if (!scenario)
        reader.fail("scenario", base::concat("must be one of ", allowedNames(SCENARIO_NAMES)));
    return scenario.value_or(ScenarioName::OrdinaryDay);
}

} // namespace

auto readSettings(const std::string &file) -> absl::StatusOr<BenchSettings>
{
    const auto value = process::settings::readFile(file);
    if (!value.ok())
        return value.status();
    auto reader = base::ObjectReader(*value, file);
    auto settings = BenchSettings {};
    settings.gateways = reader.strings("gateways");
    if (settings.gateways.empty())
        reader.fail("gateways", "must name one gateway at least");
    settings.scenario = readScenario(reader);
    settings.input.engineService = reader.string("engine_service");
    settings.input.orderPath = reader.string("order_path", "/orders");
    settings.input.workspaces = readWorkspaces(reader);
    settings.input.zone = reader.string("zone", "");
    settings.input.duration = reader.duration("duration", RUN_TIMES, USUAL_RUN);
    settings.input.scale = reader.number("scale", 0.05, 1000, 1);
    settings.plainService = reader.string("plain_service");
    settings.label = reader.string("label", "");
    settings.seed = static_cast<std::uint64_t>(reader.integer("seed", SEEDS, 1));
    settings.usageWindow = reader.duration("usage_window", WINDOW_TIMES, USUAL_WINDOW);
    settings.controls = readControls(reader);
    settings.processes = readProcesses(reader);
    const auto problem = reader.finish();
    if (!problem.ok())
        return problem;
    return settings;
}

} // namespace nutmegplank::app::bench
