#include "platform/enginecontrol.h"

#include <boost/json.hpp>

#include "base/status.h"
#include "base/text.h"
#include "platform/jsonfields.h"
#include "platform/platformcall.h"
#include "platform/serverrecords.h"
#include "platform/wireheaders.h"
#include "process/clock/clock.h"

namespace nutmegplank::platform {

namespace {

namespace asio = boost::asio;
namespace http = connection::http;
namespace json = boost::json;
using version::waves::LoadStrategy;
using version::waves::OrderOutcome;

constexpr auto CALL_TIMEOUT = std::chrono::milliseconds(800);

//! "retain" keeps running requests under the new weights; "wait" lets them finish first.
constexpr auto WIRE_STRATEGIES = base::EnumTable<LoadStrategy, 2> { {
    { LoadStrategy::Finish, "wait" },
    { LoadStrategy::Retain, "retain" },
} };

//! Orders and reports carry no request id. A response with one belongs to another request on the
//! connection.
auto isForeign(const http::Response &response) -> bool
{
    return !http::headerValue(response.headers, wireheaders::REQUEST_ID).empty();
}

auto outcomeForStatus(std::uint32_t status) -> OrderOutcome
{
    switch (status) {
    case 202:
        return OrderOutcome::Accepted;
    case 200:
        return OrderOutcome::AlreadyLoaded;
    case 409:
        return OrderOutcome::Conflict;
    case 412:
        return OrderOutcome::Fenced;
    case 421:
        return OrderOutcome::WrongServer;
    default:
        return OrderOutcome::Rejected;
    }
}

} // namespace

auto EngineControl::order(version::waves::WeightOrder order) -> asio::awaitable<OrderOutcome>
{
    auto body = json::object();
    body["operation"] = "version";
    body["model"] = order.model;
    body["version"] = order.version;
    body["strategy"] = base::nameOf(WIRE_STRATEGIES, order.strategy);
    body["holder"] = m_holder;
    body["fencing_token"] = order.fence;
    // "expected" is the number of orders that the engine accepted before this one.
    if (order.expectedSequence.has_value())
        body["expected"] = *order.expectedSequence;
    auto request = http::Request();
    request.method = "POST";
    request.target = "/v1/order";
    request.headers = { { "Content-Type", "application/json" },
                        { wireheaders::EXPECTED_SERVER, order.engine } };
    request.body = json::serialize(body);
    const auto sentAt = process::clock::now();
    const auto result =
        co_await sendFenced(m_pools.pool(order.engine, order.endpoint), std::move(request),
                            CALL_TIMEOUT, Fence { m_calls, order.fence });
    if (!result.response.ok())
        co_return result.sent ? OrderOutcome::NoAnswer : OrderOutcome::NotSent;
    if (isForeign(*result.response))
        co_return OrderOutcome::NoAnswer;
    m_onResponse(order.engine, *result.response, sentAt);
    co_return outcomeForStatus(result.response->status);
}

auto EngineControl::report(std::string engine, std::string endpoint)
    -> asio::awaitable<absl::StatusOr<version::waves::EngineReport>>
{
    auto request = http::Request();
    request.target = "/v1/report";
    request.headers = { { wireheaders::EXPECTED_SERVER, engine } };
    const auto sentAt = process::clock::now();
    const auto result =
        co_await sendOverPool(m_pools.pool(engine, endpoint), std::move(request), CALL_TIMEOUT);
    if (!result.response.ok())
        co_return result.response.status();
    if (!isForeign(*result.response))
        m_onResponse(engine, *result.response, sentAt);
    const auto body = parseObject(result.response->body);
    if (result.response->status != 200 || !body.has_value() || isForeign(*result.response))
        co_return base::makeError(absl::StatusCode::kUnavailable,
                                  base::concat("status ", result.response->status),
                                  { "engine.report", endpoint });
    auto report = version::waves::EngineReport();
    report.versions = readModelVersions(*body);
    report.busy = boolField(*body, "busy").value_or(false);
    report.sequence = unsignedField(*body, "sequence").value_or(0);
    co_return report;
}

} // namespace nutmegplank::platform
