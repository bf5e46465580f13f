#include <boost/asio.hpp>
#include <boost/json.hpp>

#include "base/jsonreader.h"
#include "base/text.h"
#include "connection/http/httpserver.h"
#include "logservice.h"
#include "process/runtime/runtime.h"
#include "process/settings/settings.h"

//! Stand-in for the platform's log service; docs/PROTOCOLS.md has its calls.
namespace nutmegplank::standins::log {

namespace {

namespace http = connection::http;
namespace json = boost::json;

constexpr auto LARGEST_PORT = 65'535;
constexpr auto THREADS = std::uint16_t(2);

auto run(const std::string &settingsFile, bool checkOnly) -> int
{
    const auto value = process::settings::readFile(settingsFile);
    if (!value.ok())
        process::runtime::exitForBadSettings(base::toStd(value.status().message()));
    auto reader = base::ObjectReader(*value, settingsFile);
    const auto address = reader.string("address", "127.0.0.1");
    const auto port = static_cast<std::uint16_t>(reader.integer("port", { 0, LARGEST_PORT }, 0));
    const auto status = reader.finish();
    if (!status.ok())
        process::runtime::exitForBadSettings(base::toStd(status.message()));
    if (checkOnly)
        return 0;
    auto runtime = process::runtime::Runtime(THREADS);
    auto service = LogService();
    auto limits = http::ServerLimits();
    auto server =
        http::HttpServer(runtime.context(), limits,
                         [&service](http::Request request, http::IHttpResponder &responder) {
                             return service.handle(std::move(request), responder);
                         });
    const auto bound = server.listen(address, port);
    if (!bound.ok())
        process::runtime::exitForBadSettings(base::toStd(bound.status().message()));
    process::runtime::printReady(
        json::object { { "ready", true }, { "http", base::concat(address, ":", *bound) } });
    runtime.run([&runtime] { runtime.stop(); });
    return 0;
}

} // namespace

} // namespace nutmegplank::standins::log

auto main(int argc, char **argv) -> int
{
    const auto commandLine = nutmegplank::process::runtime::parseCommandLine(
        argc, argv, "standin-log", "Stand-in for the platform's log service.");
    return nutmegplank::standins::log::run(commandLine.settingsFile, commandLine.checkSettings);
}
