//! standin-plain: a plain service. Faults over POST /control, counts at GET /stats.

#include "base/jsonreader.h"
#include "base/text.h"
#include "connection/http/httpserver.h"
#include "plain/plainserver.h"
#include "process/clock/clock.h"
#include "process/runtime/runtime.h"
#include "process/settings/settings.h"

using namespace nutmegplank;
namespace http = connection::http;

namespace {

constexpr auto PORT_RANGE = base::IntegerRange { 0, 65535 };
constexpr auto TIME_RANGE = base::IntegerRange { 0, 600'000 }; //!< Milliseconds.
constexpr auto COUNT_RANGE = base::IntegerRange { 1, 100'000 };

} // namespace

auto main(int argc, char **argv) -> int
{
    const auto line = process::runtime::parseCommandLine(argc, argv, "standin-plain",
                                                         "A plain service, for tests.");
    const auto settings = process::settings::readFile(line.settingsFile);
    if (!settings.ok())
        process::runtime::exitForBadSettings(base::toStd(settings.status().message()));
    auto reader = base::ObjectReader(*settings, line.settingsFile);
    const auto address = reader.string("address");
    const auto port = static_cast<std::uint16_t>(reader.integer("port", PORT_RANGE));
    auto options = standins::PlainOptions();
    options.cold.coldTime = std::chrono::milliseconds(reader.integer("cold_ms", TIME_RANGE, 1000));
    options.cold.coldLimit =
        static_cast<std::uint32_t>(reader.integer("cold_limit", COUNT_RANGE, 2));
    options.cold.grace =
        std::chrono::milliseconds(reader.integer("cold_grace_ms", TIME_RANGE, 1000));
    options.latency = std::chrono::milliseconds(reader.integer("latency_ms", TIME_RANGE, 5));
    options.mostRunning =
        static_cast<std::uint32_t>(reader.integer("max_running", COUNT_RANGE, 64));
    const auto problem = reader.finish();
    if (!problem.ok())
        process::runtime::exitForBadSettings(base::toStd(problem.message()));

    auto runtime = process::runtime::Runtime(1);
    auto plain = standins::PlainServer(options, process::clock::now());
    auto server = http::HttpServer(
        runtime.context(), {}, [&plain](http::Request request, http::IHttpResponder &responder) {
            return plain.handle(std::move(request), responder);
        });
    const auto bound = server.listen(address, port);
    if (!bound.ok())
        process::runtime::exitForBadSettings(base::toStd(bound.status().message()));
    process::runtime::printReady(
        { { "ready", true }, { "http", base::concat(address, ":", *bound) } });
    runtime.run([&] { runtime.stop(); });
    return 0;
}
