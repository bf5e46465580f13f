//! standin-weights: a weight store that bears some loads at once. Settings: address, port,
//! loads_at_once, load_ms (time of one read), bytes. POST /control: {outage_ms, load_ms,
//! loads_at_once}. GET /stats.

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include "base/text.h"
#include "connection/http/httpserver.h"
#include "process/clock/clock.h"
#include "process/runtime/runtime.h"
#include "process/settings/settings.h"

using namespace nutmegplank;
namespace asio = boost::asio;
namespace http = connection::http;

namespace {

constexpr auto PORT_RANGE = base::IntegerRange { 0, 65535 };
constexpr auto MILLISECONDS = base::IntegerRange { 0, 3'600'000 };
constexpr auto COUNT = base::IntegerRange { 1, 10'000 };
constexpr auto BYTES = base::IntegerRange { 1, 16 * 1024 * 1024 };
constexpr auto DEFAULT_LOADS = 4;
constexpr auto DEFAULT_LOAD_MS = 200;
constexpr auto DEFAULT_BYTES = 1024;
constexpr auto WEIGHTS = std::string_view("/v1/weights/");

//! The store's state and counts.
struct Store
{
    std::int64_t loadsAtOnce = DEFAULT_LOADS;
    std::int64_t loadMs = DEFAULT_LOAD_MS;
    std::int64_t bytes = DEFAULT_BYTES;
    std::int64_t running = 0;
    std::int64_t mostRunning = 0;
    std::uint64_t served = 0;
    std::uint64_t refused = 0;
    base::TimePoint outageUntil {};
    std::map<std::string, std::uint64_t> reads; //!< By source.
};

auto json(std::uint32_t status, const boost::json::object &body) -> http::Response
{
    return http::jsonResponse(status, boost::json::serialize(body));
}

auto problemOf(std::uint32_t status, std::string_view problem) -> http::Response
{
    return json(status, { { "error", problem } });
}

auto stats(const Store &store) -> boost::json::object
{
    return { { "served", store.served },
             { "refused", store.refused },
             { "most_running", store.mostRunning },
             { "reads", boost::json::value_from(store.reads) } };
}

auto control(Store &store, const std::string &body, base::TimePoint now) -> http::Response
{
    const auto parsed = base::parseJson(body);
    if (!parsed.ok())
        return json(400, { { "error", "no JSON" } });
    auto reader = base::ObjectReader(*parsed, "control");
    if (reader.has("outage_ms"))
        store.outageUntil =
            now + std::chrono::milliseconds(reader.integer("outage_ms", MILLISECONDS));
    store.loadMs = reader.integer("load_ms", MILLISECONDS, store.loadMs);
    store.loadsAtOnce = reader.integer("loads_at_once", COUNT, store.loadsAtOnce);
    const auto problem = reader.finish();
    return problem.ok() ? json(200, {})
                        : json(400, { { "error", std::string(base::toStd(problem.message())) } });
}

auto load(Store &store, std::string source, http::IHttpResponder &responder)
    -> asio::awaitable<void>
{
    if (process::clock::now() < store.outageUntil) {
        co_await responder.respond(problemOf(503, "outage"));
        co_return;
    }
    if (store.running >= store.loadsAtOnce) {
        ++store.refused;
        auto response = problemOf(429, "rate");
        response.headers.push_back({ "Retry-After-Ms", std::to_string(store.loadMs) });
        co_await responder.respond(std::move(response));
        co_return;
    }
    ++store.running;
    store.mostRunning = std::max(store.mostRunning, store.running);
    auto timer = asio::steady_timer(co_await asio::this_coro::executor,
                                    std::chrono::milliseconds(store.loadMs));
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    --store.running;
    ++store.served;
    ++store.reads[source];
    auto response = http::Response();
    response.headers.push_back({ "Content-Type", "application/octet-stream" });
    response.body = std::string(static_cast<std::size_t>(store.bytes), 'w');
    co_await responder.respond(std::move(response));
}

auto serve(Store &store, http::Request request, http::IHttpResponder &responder)
    -> asio::awaitable<void>
{
    const auto path = std::string(http::pathOf(request.target));
    if (path == "/control")
        co_await responder.respond(control(store, request.body, process::clock::now()));
    else if (path == "/stats")
        co_await responder.respond(json(200, stats(store)));
    else if (path.rfind(WEIGHTS, 0) == 0)
        co_await load(store, path.substr(WEIGHTS.size()), responder);
    else
        co_await responder.respond(problemOf(404, "no such path"));
}

} // namespace

auto main(int argc, char **argv) -> int
{
    const auto line = process::runtime::parseCommandLine(argc, argv, "standin-weights",
                                                         "A rate-limited weight store, for tests.");
    const auto settings = process::settings::readFile(line.settingsFile);
    if (!settings.ok())
        process::runtime::exitForBadSettings(base::toStd(settings.status().message()));
    auto reader = base::ObjectReader(*settings, line.settingsFile);
    const auto address = reader.string("address");
    const auto port = static_cast<std::uint16_t>(reader.integer("port", PORT_RANGE));
    auto store = Store();
    store.loadsAtOnce = reader.integer("loads_at_once", COUNT, DEFAULT_LOADS);
    store.loadMs = reader.integer("load_ms", MILLISECONDS, DEFAULT_LOAD_MS);
    store.bytes = reader.integer("bytes", BYTES, DEFAULT_BYTES);
    const auto problem = reader.finish();
    if (!problem.ok())
        process::runtime::exitForBadSettings(base::toStd(problem.message()));
    auto runtime = process::runtime::Runtime(1);
    auto server = http::HttpServer(
        runtime.context(), {},
        [&](http::Request request, http::IHttpResponder &responder) -> asio::awaitable<void> {
            co_await serve(store, std::move(request), responder);
        });
    const auto bound = server.listen(address, port);
    if (!bound.ok())
        process::runtime::exitForBadSettings(base::toStd(bound.status().message()));
    process::runtime::printReady(
        { { "ready", true }, { "http", base::concat(address, ":", *bound) } });
    runtime.run([&] { runtime.stop(); });
    return 0;
}
