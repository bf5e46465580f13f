#include <cstdio>

#include <boost/json.hpp>

#include "base/status.h"
#include "load/loadrun.h"
#include "process/clock/clock.h"
#include "process/runtime/runtime.h"
#include "trainersettings.h"

namespace {

using namespace nutmegplank;

constexpr auto THREADS = std::uint16_t(1);

auto printLine(const boost::json::object &line) -> void
{
    const auto text = boost::json::serialize(line);
    std::printf("%s\n", text.c_str());
    std::fflush(stdout);
}

auto printStep(const load::TrainerClient &trainer, std::uint32_t number) -> void
{
    auto line = boost::json::object();
    line["progress"] = trainer.plan().name;
    line["step"] = number;
    line["steps_completed"] = trainer.counts().stepsCompleted;
    line["samples_delivered"] = trainer.counts().samples.delivered;
    printLine(line);
}

} // namespace

auto main(int argc, char **argv) -> int
{
    const auto commandLine = process::runtime::parseCommandLine(
        argc, argv, "standin-trainer", "Trainers and order desks that check what they get.");
    const auto settings = standins::trainer::readSettings(commandLine.settingsFile);
    if (!settings.ok())
        process::runtime::exitForBadSettings(base::describe(settings.status()));
    if (commandLine.checkSettings)
        return 0;
    auto runtime = process::runtime::Runtime(THREADS);
    auto run = load::LoadRun(runtime.context(), settings->gateways, settings->seed);
    for (const auto &plan : settings->trainers)
        run.addTrainer(plan);
    for (const auto &plan : settings->orders)
        run.addOrders(plan);
    run.onStep(printStep);
    run.start(process::clock::now() + settings->timeLimit, [&runtime] { runtime.stop(); });
    runtime.run([&runtime] { runtime.stop(); });
    printLine(run.summary());
    return 0;
}
