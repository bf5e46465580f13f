//! standin-engine: a model engine. Faults over POST /control, counts at GET /stats.

#include "base/jsonreader.h"
#include "base/text.h"
#include "connection/http/httpserver.h"
#include "engine/engineserver.h"
#include "process/clock/clock.h"
#include "process/runtime/runtime.h"
#include "process/settings/settings.h"

using namespace nutmegplank;
namespace http = connection::http;

namespace {

constexpr auto PORT_RANGE = base::IntegerRange { 0, 65535 };
constexpr auto TIME_RANGE = base::IntegerRange { 0, 600'000 }; //!< Milliseconds.
constexpr auto COUNT_RANGE = base::IntegerRange { 0, 100'000 };
constexpr auto MICROSECONDS_RANGE = base::IntegerRange { 100, 10'000'000 };
constexpr auto STEEPEST_GROWTH = 10.0;

auto milliseconds(base::ObjectReader &reader, std::string_view field, base::Duration fallback)
    -> base::Duration
{
    return std::chrono::milliseconds(
        reader.integer(field, TIME_RANGE, base::toMilliseconds(fallback)));
}

auto count(base::ObjectReader &reader, std::string_view field, std::uint64_t fallback)
    -> std::uint32_t
{
    return static_cast<std::uint32_t>(
        reader.integer(field, COUNT_RANGE, static_cast<std::int64_t>(fallback)));
}

auto readOptions(base::ObjectReader &reader) -> standins::EngineOptions
{
    auto options = standins::EngineOptions();
    options.cold.coldTime = milliseconds(reader, "cold_ms", std::chrono::seconds(1));
    options.cold.coldLimit = count(reader, "cold_limit", 2);
    options.cold.grace = milliseconds(reader, "cold_grace_ms", options.cold.grace);
    options.cache.size = count(reader, "cache_size", options.cache.size);
    options.cache.delay = milliseconds(reader, "event_delay_ms", options.cache.delay);
    options.cache.lostEvery = count(reader, "event_lost_every", options.cache.lostEvery);
    options.model = reader.string("model", "");
    options.weightStore = reader.string("weight_store", "");
    options.version = count(reader, "weight_version", options.version);
    options.step = std::chrono::microseconds(
        reader.integer("step_us", MICROSECONDS_RANGE, options.step.count()));
    options.stepGrowth = reader.number("step_growth", 0, STEEPEST_GROWTH, options.stepGrowth);
    options.prefill = milliseconds(reader, "prefill_ms", options.prefill);
    options.load = milliseconds(reader, "load_ms", options.load);
    options.reportDelay = milliseconds(reader, "report_delay_ms", options.reportDelay);
    options.mostRunning = count(reader, "max_running", options.mostRunning);
    options.batchWidth = count(reader, "batch_width", options.batchWidth);
    options.checksFencing = reader.boolean("checks_fencing", options.checksFencing);
    return options;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    const auto line = process::runtime::parseCommandLine(argc, argv, "standin-engine",
                                                         "A model engine, for tests.");
    const auto settings = process::settings::readFile(line.settingsFile);
    if (!settings.ok())
        process::runtime::exitForBadSettings(base::toStd(settings.status().message()));
    auto reader = base::ObjectReader(*settings, line.settingsFile);
    const auto address = reader.string("address");
    const auto port = static_cast<std::uint16_t>(reader.integer("port", PORT_RANGE));
    auto options = readOptions(reader);
    const auto problem = reader.finish();
    if (!problem.ok())
        process::runtime::exitForBadSettings(base::toStd(problem.message()));

    auto runtime = process::runtime::Runtime(1);
    auto engine =
        standins::EngineServer(runtime.context(), std::move(options), process::clock::now());
    auto server = http::HttpServer(
        runtime.context(), {}, [&engine](http::Request request, http::IHttpResponder &responder) {
            return engine.handle(std::move(request), responder);
        });
    const auto bound = server.listen(address, port);
    if (!bound.ok())
        process::runtime::exitForBadSettings(base::toStd(bound.status().message()));
    engine.start();
    process::runtime::printReady(
        { { "ready", true }, { "http", base::concat(address, ":", *bound) } });
    runtime.run([&] { runtime.stop(); });
    return 0;
}
