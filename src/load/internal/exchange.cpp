#include "load/exchange.h"

#include "connection/http/httpclient.h"
#include "process/clock/clock.h"

namespace nutmegplank::load {

namespace {

namespace asio = boost::asio;
namespace http = connection::http;

constexpr auto SHORTEST_TIMEOUT = base::Duration(std::chrono::milliseconds(1));

auto readBody(http::IHttpConnection &connection, http::Response &response, base::TimePoint deadline)
    -> asio::awaitable<bool>
{
    while (true) {
        const auto left = std::max(SHORTEST_TIMEOUT, deadline - process::clock::now());
        const auto part = co_await connection.readBody(left);
        if (!part.ok())
            co_return false;
        if (!part->has_value())
            co_return true;
        response.body += **part;
    }
}

} // namespace

auto exchange(std::string endpoint, http::Request request, base::Duration timeout)
    -> asio::awaitable<ExchangeResult>
{
    const auto deadline = process::clock::now() + timeout;
    auto result = ExchangeResult {};
    auto options = http::ConnectOptions {};
    options.timeout = std::min(options.timeout, timeout);
    auto connection = co_await http::connect(endpoint, options);
    if (!connection.ok())
        co_return result;
    result.end = ExchangeEnd::Unknown;
    request.headers.push_back({ "Host", endpoint });
    const auto sent = co_await (*connection)->send(request, timeout);
    if (!sent.ok())
        co_return result;
    const auto left = std::max(SHORTEST_TIMEOUT, deadline - process::clock::now());
    auto head = co_await (*connection)->readHead(left);
    if (!head.ok())
        co_return result;
    result.response = *std::move(head);
    const auto whole = co_await readBody(**connection, result.response, deadline);
    if (whole)
        result.end = ExchangeEnd::Answered;
    co_return result;
}

auto jsonPost(std::string target, std::string key, std::string body) -> http::Request
{
    auto request = http::Request {};
    request.method = "POST";
    request.target = std::move(target);
    request.headers.push_back({ "Content-Type", "application/json" });
    if (!key.empty())
        request.headers.push_back({ "Authorization", "Bearer " + key });
    request.body = std::move(body);
    return request;
}

} // namespace nutmegplank::load
