//! standin-usage: the platform's usage reporting. Settings: address, port, checks_fencing.
//! POST /control: {outage_ms, slow_ms, lose_answers}. GET /stats gives windows, differing
//! re-reports, and the fencing numbers in the order of their arrival.

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
constexpr auto COUNT = base::IntegerRange { 0, 1'000'000 };
constexpr auto ANY = base::IntegerRange { 0, std::numeric_limits<std::int64_t>::max() };
constexpr auto WINDOWS = std::string_view("/v1/windows/");

struct Window
{
    std::string content;
    boost::json::value figures;
    std::uint64_t reports = 0;
    std::string reporter;
};

//! All that the platform holds, and what went wrong with it.
struct Reporting
{
    std::map<std::uint64_t, Window> windows;
    std::uint64_t differing = 0;
    std::uint64_t stale = 0;
    std::uint64_t newest = 0;
    boost::json::array arrivals;
    base::TimePoint outageUntil {};
    base::Duration slow {};
    std::int64_t loseAnswers = 0;
    bool checksFencing = true;
};

auto json(std::uint32_t status, const boost::json::object &body) -> http::Response
{
    return http::jsonResponse(status, boost::json::serialize(body));
}

auto problemOf(std::uint32_t status, std::string_view problem) -> http::Response
{
    return json(status, { { "error", problem } });
}

auto take(Reporting &reporting, std::uint64_t number, const std::string &body) -> http::Response
{
    const auto parsed = base::parseJson(body);
    if (!parsed.ok())
        return json(400, { { "error", "no JSON" } });
    auto reader = base::ObjectReader(*parsed, "window");
    const auto fencing = static_cast<std::uint64_t>(reader.integer("fencing_number", ANY));
    const auto start = reader.integer("start_ms", ANY);
    const auto end = reader.integer("end_ms", ANY);
    const auto figures = reader.raw("figures");
    const auto reporter = reader.string("reporter", "");
    if (!reader.finish().ok())
        return json(400, { { "error", "bad field" } });
    const auto stale = fencing < reporting.newest;
    reporting.stale += stale ? 1 : 0;
    reporting.newest = std::max(reporting.newest, fencing);
    reporting.arrivals.push_back(boost::json::object {
        { "number", number }, { "fencing_number", fencing }, { "reporter", reporter } });
    if (stale && reporting.checksFencing)
        return json(409, { { "newest", reporting.newest } });
    const auto content = base::concat(start, "/", end, "/", boost::json::serialize(figures));
    auto &window = reporting.windows[number];
    ++window.reports;
    if (window.content.empty()) {
        window.content = content;
        window.figures = figures;
        window.reporter = reporter;
    }
    if (window.content == content)
        return json(200, {});
    ++reporting.differing;
    return json(409, { { "error", "other figures stand there" } });
}

auto stats(const Reporting &reporting) -> boost::json::object
{
    auto windows = boost::json::array();
    for (const auto &[number, window] : reporting.windows)
        windows.push_back(boost::json::object { { "number", number },
                                                { "figures", window.figures },
                                                { "reports", window.reports },
                                                { "reporter", window.reporter } });
    return { { "windows", windows },
             { "differing", reporting.differing },
             { "stale_reports", reporting.stale },
             { "arrivals", reporting.arrivals } };
}

auto control(Reporting &reporting, const std::string &body, base::TimePoint now) -> http::Response
{
    const auto parsed = base::parseJson(body);
    if (!parsed.ok())
        return json(400, { { "error", "no JSON" } });
    auto reader = base::ObjectReader(*parsed, "control");
    if (reader.has("outage_ms"))
        reporting.outageUntil =
            now + std::chrono::milliseconds(reader.integer("outage_ms", MILLISECONDS));
    reporting.slow = std::chrono::milliseconds(
        reader.integer("slow_ms", MILLISECONDS, base::toMilliseconds(reporting.slow)));
    reporting.loseAnswers = reader.integer("lose_answers", COUNT, reporting.loseAnswers);
    const auto problem = reader.finish();
    return problem.ok() ? json(200, {})
                        : json(400, { { "error", std::string(base::toStd(problem.message())) } });
}

auto serve(Reporting &reporting, http::Request request, http::IHttpResponder &responder)
    -> asio::awaitable<void>
{
    const auto path = std::string(http::pathOf(request.target));
    if (path == "/control") {
        co_await responder.respond(control(reporting, request.body, process::clock::now()));
        co_return;
    }
    if (path == "/stats") {
        co_await responder.respond(json(200, stats(reporting)));
        co_return;
    }
    if (process::clock::now() < reporting.outageUntil) {
        co_await responder.respond(problemOf(503, "outage"));
        co_return;
    }
    if (reporting.slow.count() > 0) {
        auto timer = asio::steady_timer(co_await asio::this_coro::executor, reporting.slow);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    if (path.rfind(WINDOWS, 0) != 0 || request.method != "PUT") {
        co_await responder.respond(problemOf(404, "no such path"));
        co_return;
    }
    const auto number = std::strtoull(path.c_str() + WINDOWS.size(), nullptr, 10);
    auto response = take(reporting, number, request.body);
    if (reporting.loseAnswers > 0) {
        --reporting.loseAnswers;
        responder.abort();
        co_return;
    }
    co_await responder.respond(std::move(response));
}

} // namespace

auto main(int argc, char **argv) -> int
{
    const auto line = process::runtime::parseCommandLine(argc, argv, "standin-usage",
                                                         "Usage reporting, for tests.");
    const auto settings = process::settings::readFile(line.settingsFile);
    if (!settings.ok())
        process::runtime::exitForBadSettings(base::toStd(settings.status().message()));
    auto reader = base::ObjectReader(*settings, line.settingsFile);
    const auto address = reader.string("address");
    const auto port = static_cast<std::uint16_t>(reader.integer("port", PORT_RANGE));
    auto reporting = Reporting();
    reporting.checksFencing = reader.boolean("checks_fencing", true);
    const auto problem = reader.finish();
    if (!problem.ok())
        process::runtime::exitForBadSettings(base::toStd(problem.message()));
    auto runtime = process::runtime::Runtime(1);
    auto server = http::HttpServer(
        runtime.context(), {},
        [&](http::Request request, http::IHttpResponder &responder) -> asio::awaitable<void> {
            co_await serve(reporting, std::move(request), responder);
        });
    const auto bound = server.listen(address, port);
    if (!bound.ok())
        process::runtime::exitForBadSettings(base::toStd(bound.status().message()));
    process::runtime::printReady(
        { { "ready", true }, { "http", base::concat(address, ":", *bound) } });
    runtime.run([&] { runtime.stop(); });
    return 0;
}
