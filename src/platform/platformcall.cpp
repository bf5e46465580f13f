#include "platform/platformcall.h"

#include "process/clock/clock.h"

namespace nutmegplank::platform {

namespace http = connection::http;

auto callOver(std::shared_ptr<connection::backend::BackendPool> pool, http::Request request,
              base::Duration timeout) -> boost::asio::awaitable<CallResult>
{
    const auto deadline = process::clock::now() + timeout;
    const auto left = [deadline] {
        return std::max(base::Duration(1000), deadline - process::clock::now());
    };
    auto connection =
        co_await pool->acquire(connection::backend::Repeatable::Yes, process::clock::now());
    auto result = CallResult();
    if (!connection.ok()) {
        result.response = connection.status();
        co_return result;
    }
    result.sent = true;
    const auto sent = co_await (*connection)->send(request, left());
    if (sent.ok())
        result.response = co_await (*connection)->readHead(left());
    else
        result.response = sent;
    while (result.response.ok()) {
        auto part = co_await (*connection)->readBody(left());
        if (!part.ok()) {
            result.response = part.status();
            break;
        }
        if (!part->has_value())
            break;
        result.response->body += **part;
    }
    if (result.response.ok())
        pool->release(std::move(*connection), process::clock::now());
    else
        (*connection)->close();
    co_return result;
}

} // namespace nutmegplank::platform
