#include <cstdio>

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include "base/status.h"
#include "base/text.h"
#include "figures.h"
#include "load/exchange.h"
#include "process/clock/clock.h"
#include "process/runtime/runtime.h"
#include "processortime.h"

namespace {

using namespace nutmegplank;
namespace asio = boost::asio;
namespace bench = nutmegplank::app::bench;

constexpr auto THREADS = std::uint16_t(1);
constexpr auto COMPARED_ORDERS = 40;
constexpr auto COMPARE_TIMEOUT = base::Duration(std::chrono::seconds(5));

auto printText(const std::string &text) -> void
{
    std::printf("%s\n", text.c_str());
    std::fflush(stdout);
}

//! Median latency of a row of orders to \a endpoint.
auto medianOf(std::string endpoint, std::string path, std::string key, std::string prefix)
    -> asio::awaitable<double>
{
    auto latencies = load::Latencies();
    for (auto number = 0; number < COMPARED_ORDERS; ++number) {
        auto body = boost::json::object();
        body["order"] = base::concat(prefix, number);
        auto request = load::jsonPost(path, key, boost::json::serialize(body));
        const auto begun = process::clock::now();
        const auto result = co_await load::exchange(endpoint, std::move(request), COMPARE_TIMEOUT);
        if (result.end == load::ExchangeEnd::Answered && result.response.status == 200)
            latencies.record(process::clock::now() - begun);
    }
    co_return latencies.percentile(0.5);
}

//! The same orders straight and through a gateway, before the load begins.
auto compareLatency(const bench::BenchSettings &settings) -> asio::awaitable<bench::AddedLatency>
{
    auto latency = bench::AddedLatency {};
    if (settings.controls.plains.empty())
        co_return latency;
    const auto prefix =
        base::concat("compare-", settings.seed, "-", process::clock::wallMilliseconds());
    const auto &key = settings.input.workspaces.front().key;
    latency.directP50Ms = co_await medianOf(settings.controls.plains.front(),
                                            settings.input.orderPath, "", prefix + "-direct-");
    latency.throughP50Ms = co_await medianOf(settings.gateways.front(), settings.input.orderPath,
                                             key, prefix + "-through-");
    co_return latency;
}

//! Runs the load on the present executor and waits for its end.
auto runLoad(load::LoadRun &run, bench::StandinWatch &watch, std::vector<bench::Action> actions,
             base::TimePoint deadline) -> asio::awaitable<void>
{
    const auto executor = co_await asio::this_coro::executor;
    auto ended = asio::steady_timer(executor, asio::steady_timer::time_point::max());
    const auto meter = [&watch]() { return watch.meterSpending(); };
    const auto act = [&watch, actions]() { return watch.act(actions); };
    asio::co_spawn(executor, meter, asio::detached);
    asio::co_spawn(executor, act, asio::detached);
    run.start(deadline, [&ended, executor] { asio::post(executor, [&ended] { ended.cancel(); }); });
    co_await ended.async_wait(asio::as_tuple(asio::use_awaitable));
    watch.stop();
}

auto runBench(const bench::BenchSettings &settings, process::runtime::Runtime &runtime)
    -> asio::awaitable<void>
{
    const auto scenario = bench::makeScenario(settings.scenario, settings.input);
    auto run = load::LoadRun(runtime.context(), settings.gateways, settings.seed);
    for (const auto &plan : scenario.trainers)
        run.addTrainer(plan);
    for (const auto &plan : scenario.orders)
        run.addOrders(plan);
    auto watch = bench::StandinWatch(settings);
    auto measured = bench::Measured {};
    measured.latency = co_await compareLatency(settings);
    measured.before = co_await watch.readCounts();
    const auto processorBefore = bench::processorSeconds(settings.processes);
    const auto begun = process::clock::now();
    co_await runLoad(run, watch, scenario.actions, begun + settings.input.duration);
    measured.duration = process::clock::now() - begun;
    measured.processorSeconds = bench::processorSeconds(settings.processes) - processorBefore;
    measured.spending = watch.spending();
    measured.after = co_await watch.readCounts();
    const auto figures = bench::makeFigures(settings, run, measured);
    printText(bench::toMarkdown(figures));
    printText(boost::json::serialize(figures));
    runtime.stop();
}

} // namespace

auto main(int argc, char **argv) -> int
{
    const auto commandLine = process::runtime::parseCommandLine(
        argc, argv, "nutmegplank-bench", "Runs a named load with faults and prints its figures.");
    const auto settings = bench::readSettings(commandLine.settingsFile);
    if (!settings.ok())
        process::runtime::exitForBadSettings(base::describe(settings.status()));
    if (commandLine.checkSettings)
        return 0;
    auto runtime = process::runtime::Runtime(THREADS);
    const auto run = [&settings, &runtime]() { return runBench(*settings, runtime); };
    asio::co_spawn(runtime.context(), run, asio::detached);
    runtime.run([&runtime] { runtime.stop(); });
    return 0;
}
