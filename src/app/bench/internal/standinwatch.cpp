#include "standinwatch.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include "load/exchange.h"
#include "process/clock/clock.h"
#include "process/runtime/runtime.h"

namespace nutmegplank::app::bench {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr auto POLL = std::chrono::milliseconds(250);
constexpr auto ASK_TIMEOUT = base::Duration(std::chrono::seconds(2));

auto pauseUntil(base::TimePoint time) -> asio::awaitable<void>
{
    auto timer = asio::steady_timer(co_await asio::this_coro::executor);
    timer.expires_after(std::max(base::Duration(0), time - process::clock::now()));
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

//! The stand-in's counts; empty when it does not answer.
auto askStats(std::string endpoint) -> asio::awaitable<json::object>
{
    if (endpoint.empty())
        co_return json::object();
    auto request = connection::http::Request {};
    request.target = "/stats";
    const auto result = co_await load::exchange(endpoint, std::move(request), ASK_TIMEOUT);
    auto error = json::error_code();
    auto value = json::parse(result.response.body, error);
    if (result.end != load::ExchangeEnd::Answered || error || !value.is_object())
        co_return json::object();
    co_return std::move(value.get_object());
}

auto countOf(const json::object &stats, std::string_view field) -> std::uint64_t
{
    const auto *value = stats.if_contains({ field.data(), field.size() });
    if (value == nullptr || !value->is_number())
        return 0;
    auto error = json::error_code();
    return value->to_number<std::uint64_t>(error);
}

auto sizeOf(const json::object &stats, std::string_view field) -> std::uint64_t
{
    const auto *value = stats.if_contains({ field.data(), field.size() });
    return value != nullptr && value->is_array() ? value->get_array().size() : 0;
}

auto addOrderRuns(std::map<std::string, std::uint64_t> &runs, const json::object &stats) -> void
{
    const auto *orders = stats.if_contains("orders");
    if (orders == nullptr || !orders->is_object())
        return;
    for (const auto &entry : orders->get_object())
        runs[std::string(entry.key())] += entry.value().to_number<std::uint64_t>();
}

} // namespace

StandinWatch::StandinWatch(const BenchSettings &settings)
    : m_settings(settings)
{ }

auto StandinWatch::addLive(const json::object &stats, double seconds) -> void
{
    const auto *live = stats.if_contains("live");
    if (live == nullptr || !live->is_array())
        return;
    for (const auto &entry : live->get_array()) {
        const auto &server = entry.as_object();
        const auto isEngine = server.at("service") == json::value(m_settings.input.engineService);
        (isEngine ? m_spending.engineSeconds : m_spending.plainSeconds) += seconds;
        const auto isCheap = server.at("cheap") == true;
        (isCheap ? m_spending.cheapSeconds : m_spending.dearSeconds) += seconds;
    }
}

auto StandinWatch::meterSpending() -> asio::awaitable<void>
{
    if (m_settings.controls.cloud.empty())
        co_return;
    auto last = process::clock::now();
    while (!m_stopped) {
        co_await pauseUntil(last + POLL);
        const auto stats = co_await askStats(m_settings.controls.cloud);
        const auto now = process::clock::now();
        addLive(stats, base::toSeconds(now - last));
        last = now;
    }
}

auto StandinWatch::carryOut(const Action &action) -> asio::awaitable<void>
{
    const auto &controls = m_settings.controls;
    auto endpoints = std::vector<std::string>();
    if (action.target == ActionTarget::Log)
        endpoints = { controls.log };
    if (action.target == ActionTarget::Cloud)
        endpoints = { controls.cloud };
    if (action.target == ActionTarget::Engines)
        endpoints = controls.engines;
    if (action.target == ActionTarget::Plains)
        endpoints = controls.plains;
    for (const auto &endpoint : endpoints) {
        if (endpoint.empty())
            continue;
        auto request = load::jsonPost("/control", "", action.body);
        const auto result = co_await load::exchange(endpoint, std::move(request), ASK_TIMEOUT);
        static_cast<void>(result); // A dead stand-in needs no fault.
    }
}

auto StandinWatch::act(std::vector<Action> actions) -> asio::awaitable<void>
{
    const auto begun = process::clock::now();
    for (const auto &action : actions) {
        co_await pauseUntil(begun + action.at);
        if (m_stopped)
            co_return;
        auto line = json::object();
        line["mark"] = action.body;
        line["at_ms"] = base::toMilliseconds(action.at);
        process::runtime::printReady(line);
        if (action.target != ActionTarget::Starter)
            co_await carryOut(action);
    }
}

auto StandinWatch::readCounts() -> asio::awaitable<StandinCounts>
{
    auto counts = StandinCounts {};
    auto runs = std::map<std::string, std::uint64_t>();
    for (const auto &endpoint : m_settings.controls.engines) {
        const auto stats = co_await askStats(endpoint);
        counts.generatedTokens += countOf(stats, "tokens");
        counts.engineRestarts += countOf(stats, "restarts");
        counts.keysSeen += countOf(stats, "keys_seen");
    }
    for (const auto &endpoint : m_settings.controls.plains) {
        const auto stats = co_await askStats(endpoint);
        counts.keysSeen += countOf(stats, "keys_seen");
        addOrderRuns(runs, stats);
    }
    for (const auto &[order, count] : runs)
        counts.ordersRunTwice += count > 1 ? 1 : 0;
    const auto usage = co_await askStats(m_settings.controls.usage);
    counts.usageWindows = sizeOf(usage, "windows");
    counts.usageWrong = countOf(usage, "differing") + countOf(usage, "stale_reports");
    co_return counts;
}

} // namespace nutmegplank::app::bench
