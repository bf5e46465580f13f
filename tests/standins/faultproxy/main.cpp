//! standin-faultproxy: TCP relays between processes, with faults set over HTTP at POST /control:
//! {"name": "log", "mode": "cut", "delay_ms": 0, "count": 3}.

#include <absl/status/status.h>

#include "base/jsonreader.h"
#include "base/text.h"
#include "connection/http/httpserver.h"
#include "faultproxy/route.h"
#include "process/runtime/runtime.h"
#include "process/settings/settings.h"

using namespace nutmegplank;
namespace asio = boost::asio;
namespace http = connection::http;

namespace {

constexpr auto PORT_RANGE = base::IntegerRange { 0, 65535 };
constexpr auto DELAY_RANGE = base::IntegerRange { 0, 60'000 };
constexpr auto COUNT_RANGE = base::IntegerRange { -1, 1'000'000 };

using Routes = std::map<std::string, std::unique_ptr<standins::Route>>;

auto toEndpoint(const std::string &text) -> asio::ip::tcp::endpoint
{
    const auto colon = text.rfind(':');
    return { asio::ip::make_address(text.substr(0, colon)),
             static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))) };
}

auto control(Routes &routes, const std::string &body) -> http::Response
{
    const auto parsed = base::parseJson(body);
    if (!parsed.ok())
        return http::jsonResponse(400, R"({"error":"no JSON"})");
    auto reader = base::ObjectReader(*parsed, "control");
    const auto name = reader.string("name");
    const auto mode = base::valueOf(standins::FAULT_MODE_NAMES, reader.string("mode"));
    auto fault = standins::Fault();
    fault.delay = std::chrono::milliseconds(reader.integer("delay_ms", DELAY_RANGE, 0));
    fault.count = reader.integer("count", COUNT_RANGE, -1);
    const auto route = routes.find(name);
    if (!reader.finish().ok() || !mode.has_value() || route == routes.end())
        return http::jsonResponse(400, R"({"error":"unknown name, mode or field"})");
    fault.mode = *mode;
    route->second->setFault(fault);
    return http::jsonResponse(200, "{}");
}

} // namespace

auto main(int argc, char **argv) -> int
{
    const auto line = process::runtime::parseCommandLine(argc, argv, "standin-faultproxy",
                                                         "TCP relays with faults, for tests.");
    const auto settings = process::settings::readFile(line.settingsFile);
    if (!settings.ok())
        process::runtime::exitForBadSettings(base::toStd(settings.status().message()));
    auto reader = base::ObjectReader(*settings, line.settingsFile);
    const auto address = reader.string("address");
    const auto port = static_cast<std::uint16_t>(reader.integer("port", PORT_RANGE));
    auto runtime = process::runtime::Runtime(1);
    auto routes = Routes();
    for (auto &entry : reader.objects("routes")) {
        const auto name = entry.string("name");
        const auto listen = entry.string("listen");
        const auto target = entry.string("target");
        reader.absorb(entry);
        if (!process::settings::isEndpoint(listen) || !process::settings::isEndpoint(target))
            process::runtime::exitForBadSettings(
                "routes: listen and target must be IP numbers with ports");
        routes[name] = std::make_unique<standins::Route>(runtime.context(), toEndpoint(listen),
                                                         toEndpoint(target));
        routes[name]->start();
    }
    const auto problem = reader.finish();
    if (!problem.ok())
        process::runtime::exitForBadSettings(base::toStd(problem.message()));
    auto server = http::HttpServer(
        runtime.context(), {},
        [&](http::Request request, http::IHttpResponder &responder) -> asio::awaitable<void> {
            co_await responder.respond(control(routes, request.body));
        });
    const auto bound = server.listen(address, port);
    if (!bound.ok())
        process::runtime::exitForBadSettings(base::toStd(bound.status().message()));
    process::runtime::printReady(
        { { "ready", true }, { "http", base::concat(address, ":", *bound) } });
    runtime.run([&] { runtime.stop(); });
    return 0;
}
