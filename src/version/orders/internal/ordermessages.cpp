#include "version/orders/internal/ordermessages.h"

#include "base/enumtable.h"
#include "base/jsonreader.h"
#include "base/text.h"

namespace nutmegplank::version::orders {

namespace {

namespace http = connection::http;

constexpr auto KIND_NAMES = base::EnumTable<state::OrderKind, 2> { {
    { state::OrderKind::Create, "create" },
    { state::OrderKind::Release, "release" },
} };

constexpr auto HTTP_OK = 200U;
constexpr auto HTTP_BAD_REQUEST = 400U;
constexpr auto HTTP_NOT_FOUND = 404U;
constexpr auto HTTP_UNPROCESSABLE = 422U;

auto kindName(state::OrderKind kind) -> std::string
{
    return std::string(base::nameOf(KIND_NAMES, kind));
}

auto orderPath(const state::OrderState &order) -> std::string
{
    return base::concat("/v1/orders/", order.orderId);
}

auto resultName(OrderAnswer answer) -> std::string_view
{
    if (answer == OrderAnswer::Done)
        return "done";
    return answer == OrderAnswer::Refused ? "refused" : "absent";
}

} // namespace

auto intentRecord(const state::OrderState &order, std::uint64_t fencingNumber,
                  const std::string &scope) -> boost::json::object
{
    return { { "fencing_number", fencingNumber },
             { "scope", scope },
             { "order_id", order.orderId },
             { "order_kind", kindName(order.kind) },
             { "service", order.service },
             { "zone", order.zone },
             { "cheap", order.cheap },
             { "server", order.server } };
}

auto outcomeRecord(const state::OrderState &order, const OrderResult &result) -> boost::json::object
{
    return { { "order_id", order.orderId },
             { "server", result.server },
             { "result", resultName(result.answer) } };
}

auto orderRequest(const state::OrderState &order, std::uint64_t fencingNumber,
                  const std::string &scope) -> http::Request
{
    auto request = http::Request();
    request.method = "PUT";
    request.target = orderPath(order);
    request.headers.push_back({ "Content-Type", "application/json" });
    request.body = boost::json::serialize(boost::json::object {
        { "kind", kindName(order.kind) },
        { "service", order.service },
        { "zone", order.zone },
        { "cheap", order.cheap },
        { "server", order.server },
        { "fencing_number", fencingNumber },
        { "scope", scope },
    });
    return request;
}

auto orderQuery(const state::OrderState &order) -> http::Request
{
    auto request = http::Request();
    request.target = orderPath(order);
    return request;
}

auto parseAnswer(const http::Response &response) -> OrderResult
{
    if (response.status == HTTP_NOT_FOUND)
        return { OrderAnswer::NotFound, {} };
    if (response.status == HTTP_BAD_REQUEST || response.status == HTTP_UNPROCESSABLE)
        return { OrderAnswer::Refused, {} };
    if (response.status != HTTP_OK)
        return {};
    const auto body = base::parseJson(response.body);
    if (!body.ok())
        return {};
    auto reader = base::ObjectReader(*body, "order");
    auto server = reader.string("server", "");
    const auto state = reader.string("state", "");
    if (state == "refused")
        return { OrderAnswer::Refused, {} };
    return { OrderAnswer::Done, std::move(server) };
}

} // namespace nutmegplank::version::orders
