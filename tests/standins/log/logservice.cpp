#include "logservice.h"

#include <charconv>

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include "base/jsonreader.h"
#include "base/text.h"
#include "process/clock/clock.h"

namespace nutmegplank::standins::log {

namespace {

namespace asio = boost::asio;
namespace http = connection::http;
namespace json = boost::json;

constexpr auto POLL_STEP = std::chrono::milliseconds(5);
constexpr auto MOST_RECORDS = std::uint64_t(10'000);
constexpr auto LONGEST_WAIT_MS = std::uint64_t(60'000);

auto numberFrom(const std::string &target, std::string_view name, std::uint64_t fallback)
    -> std::uint64_t
{
    const auto text = http::queryValue(target, name);
    auto number = fallback;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

auto pause(base::Duration time) -> asio::awaitable<void>
{
    auto timer = asio::steady_timer(co_await asio::this_coro::executor);
    timer.expires_after(time);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

auto objectResponse(std::uint32_t status, const json::object &object) -> http::Response
{
    return http::jsonResponse(status, json::serialize(object));
}

auto problemResponse(std::uint32_t status, std::string_view problem) -> http::Response
{
    return objectResponse(status, json::object { { "error", problem } });
}

} // namespace

auto LogService::handle(http::Request request, http::IHttpResponder &responder)
    -> asio::awaitable<void>
{
    const auto path = http::pathOf(request.target);
    if (path == "/control") {
        co_await responder.respond(control(request));
        co_return;
    }
    if (path == "/stats") {
        co_await responder.respond(objectResponse(200, stats()));
        co_return;
    }
    if (path != "/v1/records") {
        co_await responder.respond(problemResponse(404, "no such call"));
        co_return;
    }
    if (m_faults.delay().count() > 0)
        co_await pause(m_faults.delay());
    if (request.method == "POST")
        co_await append(request, responder);
    else
        co_await read(request, responder);
}

auto LogService::append(const http::Request &request, http::IHttpResponder &responder)
    -> asio::awaitable<void>
{
    const auto value = base::parseJson(request.body);
    const auto valid = value.ok() && value->is_object() && value->as_object().contains("id")
        && value->at("id").is_string() && value->as_object().contains("body")
        && value->at("body").is_object();
    if (!valid) {
        co_await responder.respond(problemResponse(400, "must be {\"id\", \"body\"}"));
        co_return;
    }
    const auto fate = m_faults.fateOfAppend(process::clock::now());
    if (fate == AppendFate::Outage || fate == AppendFate::TooMany) {
        const auto status = fate == AppendFate::Outage ? 503U : 429U;
        co_await responder.respond(problemResponse(status, "not now"));
        co_return;
    }
    const auto offset =
        m_store.append(std::string(value->at("id").as_string()), value->at("body").as_object());
    if (fate == AppendFate::LoseAnswer) {
        responder.abort();
        co_return;
    }
    const auto answer = json::object { { "offset", offset } };
    co_await responder.respond(objectResponse(200, answer));
}

auto LogService::read(const http::Request &request, http::IHttpResponder &responder)
    -> asio::awaitable<void>
{
    const auto from = numberFrom(request.target, "from", 0);
    const auto most = std::min(numberFrom(request.target, "max", MOST_RECORDS), MOST_RECORDS);
    const auto wait = std::min(numberFrom(request.target, "wait_ms", 0), LONGEST_WAIT_MS);
    const auto deadline = process::clock::now() + std::chrono::milliseconds(wait);
    auto result = m_store.read(from, most);
    while (result.records.empty() && !result.expired && !m_faults.outage()
           && process::clock::now() < deadline) {
        co_await pause(POLL_STEP);
        result = m_store.read(from, most);
    }
    ++m_reads;
    if (m_faults.outage()) {
        co_await responder.respond(problemResponse(503, "outage"));
        co_return;
    }
    if (result.expired) {
        const auto gone = json::object { { "first", result.first } };
        co_await responder.respond(objectResponse(410, gone));
        co_return;
    }
    auto answer = json::object { { "records", std::move(result.records) },
                                 { "next", result.next },
                                 { "first", result.first } };
    co_await responder.respond(objectResponse(200, answer));
}

auto LogService::control(const http::Request &request) -> http::Response
{
    const auto value = base::parseJson(request.body);
    if (!value.ok() || !value->is_object())
        return problemResponse(400, "must be a JSON object");
    const auto status = m_faults.set(value->as_object());
    if (!status.ok())
        return problemResponse(400, base::toStd(status.message()));
    auto reader = base::ObjectReader(*value, "control");
    if (reader.has("retention_records"))
        m_store.setRetention(static_cast<std::size_t>(
            reader.integer("retention_records", { 0, std::numeric_limits<int>::max() })));
    return objectResponse(200, stats());
}

auto LogService::stats() const -> json::object
{
    auto object = m_faults.stats();
    object["next"] = m_store.nextOffset();
    object["first"] = m_store.firstOffset();
    object["reads"] = m_reads.load();
    return object;
}

} // namespace nutmegplank::standins::log
