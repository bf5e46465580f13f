#include "figures.h"

#include <boost/json.hpp>

#include "base/text.h"

namespace nutmegplank::app::bench {

namespace {

namespace json = boost::json;

using load::share;

constexpr auto ORDER_TOKENS = 16.0; //!< What one order weighs beside tokens of samples.
constexpr auto MICROSECONDS = 1e6;

auto number(std::uint64_t value) -> double
{
    return static_cast<double>(value);
}

//! Windows that should have been reported in the run's time and were not.
auto lateWindows(const BenchSettings &settings, const Measured &measured) -> std::uint64_t
{
    const auto due = static_cast<std::uint64_t>(measured.duration / settings.usageWindow);
    const auto reported = measured.after.usageWindows - measured.before.usageWindows;
    return due > reported ? due - reported : 0;
}

auto addSpending(json::object &figures, const load::LoadRun &run, const Measured &measured) -> void
{
    const auto trainers = run.trainerSums();
    const auto orders = run.orderSums();
    const auto &spending = measured.spending;
    const auto generated =
        number(measured.after.generatedTokens) - number(measured.before.generatedTokens);
    figures["engine_seconds_per_sample"] =
        share(spending.engineSeconds, number(trainers.samples.delivered));
    figures["plain_seconds_per_order"] = share(spending.plainSeconds, number(orders.confirmed));
    figures["cheap_share"] =
        share(spending.cheapSeconds, spending.cheapSeconds + spending.dearSeconds);
    figures["lost_token_share"] =
        std::max(0.0, share(generated - number(trainers.samples.tokens), generated));
    figures["engine_restarts"] = measured.after.engineRestarts - measured.before.engineRestarts;
}

} // namespace

auto workspaceServices(const BenchSettings &settings, const load::LoadRun &run)
    -> std::vector<WorkspaceService>
{
    auto services = std::vector<WorkspaceService>();
    for (const auto &workspace : settings.input.workspaces) {
        auto service = WorkspaceService { workspace.name, number(workspace.weight), 0, 0 };
        for (const auto &trainer : run.trainers()) {
            if (trainer->plan().workspace != workspace.name)
                continue;
            service.demand += number(trainer->counts().tokensRequested);
            service.served += number(trainer->counts().samples.tokens);
        }
        for (const auto &desk : run.desks()) {
            if (desk->plan().workspace != workspace.name || desk->plan().killer)
                continue;
            service.demand += ORDER_TOKENS * number(desk->counts().sent);
            service.served += ORDER_TOKENS * number(desk->counts().confirmed);
        }
        if (service.demand > 0)
            services.push_back(std::move(service));
    }
    return services;
}

auto makeFigures(const BenchSettings &settings, const load::LoadRun &run, const Measured &measured)
    -> json::object
{
    auto figures = json::object();
    figures["scenario"] = json::value(std::string(nameOf(SCENARIO_NAMES, settings.scenario)));
    figures["label"] = settings.label;
    figures["seed"] = settings.seed;
    figures["duration_s"] = base::toSeconds(measured.duration);
    for (const auto &entry : run.summary())
        figures[entry.key()] = entry.value();
    const auto worst = worstServed(workspaceServices(settings, run));
    figures["worst_served_workspace"] = worst.workspace;
    figures["worst_served_share"] = worst.share;
    addSpending(figures, run, measured);
    figures["usage_windows"] = measured.after.usageWindows - measured.before.usageWindows;
    figures["usage_windows_late"] = lateWindows(settings, measured);
    figures["usage_reports_wrong"] = measured.after.usageWrong - measured.before.usageWrong;
    figures["orders_run_twice"] = measured.after.ordersRunTwice;
    figures["keys_seen_by_servers"] = measured.after.keysSeen;
    figures["direct_p50_ms"] = measured.latency.directP50Ms;
    figures["added_latency_p50_ms"] = measured.latency.throughP50Ms - measured.latency.directP50Ms;
    const auto requests =
        number(run.orderSums().sent) + number(run.trainerSums().samples.delivered);
    figures["processor_us_per_request"] = share(measured.processorSeconds * MICROSECONDS, requests);
    return figures;
}

auto toMarkdown(const json::object &figures) -> std::string
{
    auto table = std::string("| figure | value |\n| --- | --- |\n");
    for (const auto &entry : figures) {
        const auto key = entry.key();
        table += base::concat("| ", std::string_view(key.data(), key.size()), " | ",
                              json::serialize(entry.value()), " |\n");
    }
    return table;
}

} // namespace nutmegplank::app::bench
