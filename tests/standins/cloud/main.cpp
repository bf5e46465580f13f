//! standin-cloud: the platform's VM list and backend server ordering in one program. Settings:
//! address, port, lag_ms, checks_fencing, pool: [{id, service, zone, address, cheap,
//! checks_fencing, live}]. POST /control: {lag_ms, outage_ms, slow_ms, lose_answers, refuse_orders,
//! refuse_cheap, checks_fencing, reclaim_zone, reclaim_service, notice_ms, leave: [vm], remove:
//! [vm]}. GET /stats.

#include <boost/asio.hpp>

#include "base/text.h"
#include "cloud/cloud.h"
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
constexpr auto POLL = std::chrono::milliseconds(10);
constexpr auto LONGEST_POLL_MS = 30'000;
constexpr auto ORDERS = std::string_view("/v1/orders/");

auto json(std::uint32_t status, const boost::json::object &body) -> http::Response
{
    return http::jsonResponse(status, boost::json::serialize(body));
}

auto problemOf(std::uint32_t status, std::string_view problem) -> http::Response
{
    return json(status, { { "error", problem } });
}

auto number(std::string_view target, std::string_view name) -> std::uint64_t
{
    const auto text = http::queryValue(target, name);
    return text.empty() ? 0 : std::strtoull(text.c_str(), nullptr, 10);
}

auto readPool(base::ObjectReader &reader) -> std::vector<standins::PoolServer>
{
    auto pool = std::vector<standins::PoolServer>();
    for (auto &entry : reader.objects("pool")) {
        auto server = standins::PoolServer();
        server.id = entry.string("id");
        server.service = entry.string("service");
        server.zone = entry.string("zone");
        server.address = entry.string("address");
        server.cheap = entry.boolean("cheap", false);
        server.checksFencing = entry.boolean("checks_fencing", false);
        server.live = entry.boolean("live", false);
        reader.absorb(entry);
        pool.push_back(std::move(server));
    }
    return pool;
}

auto control(standins::Cloud &cloud, const std::string &body, base::TimePoint now) -> http::Response
{
    const auto parsed = base::parseJson(body);
    if (!parsed.ok())
        return json(400, { { "error", "no JSON" } });
    auto reader = base::ObjectReader(*parsed, "control");
    auto &faults = cloud.faults();
    const auto milliseconds = [&](std::string_view field, base::Duration fallback) {
        const auto known = base::toMilliseconds(fallback);
        return std::chrono::milliseconds(reader.integer(field, MILLISECONDS, known));
    };
    faults.lag = milliseconds("lag_ms", faults.lag);
    faults.slow = milliseconds("slow_ms", faults.slow);
    if (reader.has("outage_ms"))
        faults.outageUntil = now + milliseconds("outage_ms", {});
    faults.loseAnswers = reader.integer("lose_answers", COUNT, faults.loseAnswers);
    faults.refuseOrders = reader.integer("refuse_orders", COUNT, faults.refuseOrders);
    faults.refuseCheap = reader.boolean("refuse_cheap", faults.refuseCheap);
    faults.checksFencing = reader.boolean("checks_fencing", faults.checksFencing);
    const auto notice = milliseconds("notice_ms", {});
    const auto service = reader.string("reclaim_service", "");
    const auto zone = reader.string("reclaim_zone", "");
    if (!zone.empty())
        cloud.reclaim(zone, service, notice, now);
    for (const auto &vm :
         reader.has("leave") ? reader.strings("leave") : std::vector<std::string>())
        cloud.markLeaving(vm, now);
    for (const auto &vm :
         reader.has("remove") ? reader.strings("remove") : std::vector<std::string>())
        cloud.remove(vm, now);
    const auto problem = reader.finish();
    if (!problem.ok())
        return json(400, { { "error", std::string(base::toStd(problem.message())) } });
    return json(200, {});
}

auto pause(base::Duration time) -> asio::awaitable<void>
{
    auto timer = asio::steady_timer(co_await asio::this_coro::executor, time);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

auto answerList(standins::Cloud &cloud, http::Request request, http::IHttpResponder &responder)
    -> asio::awaitable<void>
{
    const auto since = number(request.target, "since");
    const auto wait = std::min<std::uint64_t>(number(request.target, "wait_ms"), LONGEST_POLL_MS);
    const auto until = process::clock::now() + std::chrono::milliseconds(wait);
    while (since != 0 && !cloud.hasNews(since, process::clock::now())
           && process::clock::now() < until)
        co_await pause(POLL);
    co_await responder.respond(json(200, cloud.list(since, process::clock::now())));
}

auto answerOrder(standins::Cloud &cloud, http::Request request, http::IHttpResponder &responder)
    -> asio::awaitable<void>
{
    const auto orderId = std::string(http::pathOf(request.target).substr(ORDERS.size()));
    if (cloud.faults().slow.count() > 0)
        co_await pause(cloud.faults().slow);
    if (request.method == "GET") {
        const auto found = cloud.find(orderId);
        co_await responder.respond(json(found.status, found.body));
        co_return;
    }
    const auto parsed = base::parseJson(request.body);
    if (!parsed.ok()) {
        co_await responder.respond(problemOf(400, "no JSON"));
        co_return;
    }
    auto reader = base::ObjectReader(*parsed, "order");
    const auto answer = cloud.order(orderId, reader, process::clock::now());
    if (answer.lost) {
        responder.abort();
        co_return;
    }
    co_await responder.respond(json(answer.status, answer.body));
}

auto serve(standins::Cloud &cloud, http::Request request, http::IHttpResponder &responder)
    -> asio::awaitable<void>
{
    const auto path = http::pathOf(request.target);
    if (path == "/control") {
        co_await responder.respond(control(cloud, request.body, process::clock::now()));
        co_return;
    }
    if (path == "/stats") {
        co_await responder.respond(json(200, cloud.stats(process::clock::now())));
        co_return;
    }
    if (cloud.isOut(process::clock::now())) {
        co_await responder.respond(problemOf(503, "outage"));
        co_return;
    }
    if (path == "/v1/vms") {
        co_await answerList(cloud, std::move(request), responder);
        co_return;
    }
    if (path.substr(0, ORDERS.size()) == ORDERS) {
        co_await answerOrder(cloud, std::move(request), responder);
        co_return;
    }
    co_await responder.respond(problemOf(404, "no such path"));
}

} // namespace

auto main(int argc, char **argv) -> int
{
    const auto line = process::runtime::parseCommandLine(
        argc, argv, "standin-cloud", "VM list and backend server ordering, for tests.");
    const auto settings = process::settings::readFile(line.settingsFile);
    if (!settings.ok())
        process::runtime::exitForBadSettings(base::toStd(settings.status().message()));
    auto reader = base::ObjectReader(*settings, line.settingsFile);
    const auto address = reader.string("address");
    const auto port = static_cast<std::uint16_t>(reader.integer("port", PORT_RANGE));
    auto cloud = standins::Cloud(readPool(reader), process::clock::now());
    cloud.faults().lag = std::chrono::milliseconds(reader.integer("lag_ms", MILLISECONDS, 0));
    cloud.faults().checksFencing = reader.boolean("checks_fencing", true);
    const auto problem = reader.finish();
    if (!problem.ok())
        process::runtime::exitForBadSettings(base::toStd(problem.message()));
    auto runtime = process::runtime::Runtime(1);
    auto server = http::HttpServer(
        runtime.context(), {},
        [&](http::Request request, http::IHttpResponder &responder) -> asio::awaitable<void> {
            co_await serve(cloud, std::move(request), responder);
        });
    const auto bound = server.listen(address, port);
    if (!bound.ok())
        process::runtime::exitForBadSettings(base::toStd(bound.status().message()));
    process::runtime::printReady(
        { { "ready", true }, { "http", base::concat(address, ":", *bound) } });
    runtime.run([&] { runtime.stop(); });
    return 0;
}
