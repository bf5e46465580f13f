#include "plain/plainserver.h"

#include "base/jsonreader.h"
#include "process/clock/clock.h"
#include "standins/common/callerkeys.h"
#include "standins/common/tokens.h"

namespace nutmegplank::standins {

namespace {

namespace asio = boost::asio;
namespace http = connection::http;
namespace json = boost::json;

constexpr auto FREEZE_CHECK = std::chrono::milliseconds(20);
constexpr auto MOST_COUNT = base::IntegerRange { 0, 1'000'000 };
constexpr auto LATENCY_RANGE = base::IntegerRange { 0, 600'000 };
constexpr auto SLOWEST = 1000.0;
constexpr auto STATUS_BUSY = 503U;
constexpr auto COLD_FACTOR = 3; //!< A cold server is this much slower.

auto orderOf(const std::string &body) -> std::string
{
    const auto parsed = base::parseJson(body);
    if (!parsed.ok() || !parsed->is_object())
        return {};
    const auto *order = parsed->get_object().if_contains("order");
    return order != nullptr && order->is_string() ? std::string(order->get_string())
                                                  : std::string();
}

} // namespace

PlainServer::PlainServer(PlainOptions options, base::TimePoint now)
    : m_options(options)
    , m_life(options.cold, now)
{ }

auto PlainServer::handle(http::Request request, http::IHttpResponder &responder)
    -> asio::awaitable<void>
{
    const auto path = std::string(http::pathOf(request.target));
    if (path == "/control") {
        (void)co_await responder.respond(control(request.body));
        co_return;
    }
    if (path == "/stats") {
        (void)co_await responder.respond(stats());
        co_return;
    }
    if (carriesKey(request))
        ++m_keysSeen;
    co_await thawed();
    if (path != "/health") {
        co_await serve(std::move(request), responder);
        co_return;
    }
    const auto health =
        json::object { { "boot_id", m_life.bootId() }, { "running", m_life.running() } };
    auto response = http::jsonResponse(200, json::serialize(health));
    response.headers.push_back({ "X-Boot-Id", m_life.bootId() });
    (void)co_await responder.respond(std::move(response));
}

auto PlainServer::serve(http::Request request, http::IHttpResponder &responder)
    -> asio::awaitable<void>
{
    const auto bootId = m_life.bootId();
    if (m_busy || m_life.running() >= m_options.mostRunning) {
        auto refusal = http::jsonResponse(STATUS_BUSY, R"({"error":"busy"})");
        refusal.headers.push_back({ "X-Not-Run", "true" });
        refusal.headers.push_back({ "X-Boot-Id", bootId });
        (void)co_await responder.respond(std::move(refusal));
        co_return;
    }
    ++m_requests;
    if (!m_life.begin(process::clock::now()))
        m_life.restart(process::clock::now());
    const auto factor = m_life.isCold(process::clock::now()) ? COLD_FACTOR : 1;
    const auto half = base::Duration(
        static_cast<std::int64_t>(m_options.latency.count() * factor * m_slowFactor / 2));
    co_await pause(half);
    if (bootId != m_life.bootId()) {
        responder.abort();
        co_return;
    }
    auto response = work(request);
    co_await pause(half);
    co_await thawed();
    const auto drops = m_answersToDrop > 0;
    if (drops)
        --m_answersToDrop;
    if (drops || bootId != m_life.bootId())
        responder.abort();
    else
        (void)co_await responder.respond(std::move(response));
    m_life.end(bootId);
}

auto PlainServer::work(const http::Request &request) -> http::Response
{
    auto answer = json::object { { "path", std::string(http::pathOf(request.target)) } };
    if (http::pathOf(request.target) == "/orders") {
        const auto order = orderOf(request.body);
        ++m_orders[order];
        answer = { { "order", order }, { "confirmation", confirmationOf(order) } };
    }
    auto response = http::jsonResponse(200, json::serialize(answer));
    response.headers.push_back({ "X-Boot-Id", m_life.bootId() });
    return response;
}

auto PlainServer::pause(base::Duration duration) -> asio::awaitable<void>
{
    auto timer = asio::steady_timer(co_await asio::this_coro::executor);
    timer.expires_after(duration);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

auto PlainServer::thawed() -> asio::awaitable<void>
{
    while (m_frozen)
        co_await pause(FREEZE_CHECK);
}

auto PlainServer::control(const std::string &body) -> http::Response
{
    const auto parsed = base::parseJson(body);
    if (!parsed.ok())
        return http::jsonResponse(400, R"({"error":"no JSON"})");
    auto reader = base::ObjectReader(*parsed, "control");
    const auto now = process::clock::now();
    m_frozen = reader.boolean("freeze", m_frozen);
    m_busy = reader.boolean("busy", m_busy);
    m_slowFactor = reader.number("slow_factor", 0.01, SLOWEST, m_slowFactor);
    const auto latency = base::toMilliseconds(m_options.latency);
    m_options.latency =
        std::chrono::milliseconds(reader.integer("latency_ms", LATENCY_RANGE, latency));
    m_answersToDrop = static_cast<std::uint64_t>(
        reader.integer("drop_answers", MOST_COUNT, static_cast<std::int64_t>(m_answersToDrop)));
    const auto cold = reader.boolean("cold", false);
    const auto restart = reader.boolean("restart", false);
    const auto problem = reader.finish();
    if (!problem.ok())
        return http::jsonResponse(400, R"({"error":"unknown field"})");
    if (cold)
        m_life.chill(now);
    if (restart)
        m_life.restart(now);
    return http::jsonResponse(200, "{}");
}

auto PlainServer::stats() const -> http::Response
{
    auto orders = json::object();
    for (const auto &[order, runs] : m_orders)
        orders[order] = runs;
    const auto stats = json::object { { "orders", orders },
                                      { "requests", m_requests },
                                      { "keys_seen", m_keysSeen },
                                      { "running", m_life.running() },
                                      { "restarts", m_life.restarts() },
                                      { "max_running_cold", m_life.maxWhileCold() },
                                      { "cold", m_life.isCold(process::clock::now()) },
                                      { "boot_id", m_life.bootId() } };
    return http::jsonResponse(200, json::serialize(stats));
}

} // namespace nutmegplank::standins
