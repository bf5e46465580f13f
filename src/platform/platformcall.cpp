#include "platform/platformcall.h"

#include "base/status.h"
#include "connection/http/httpclient.h"
#include "process/clock/clock.h"

namespace nutmegplank::platform {

namespace http = connection::http;

auto sendOverPool(std::shared_ptr<connection::backend::BackendPool> pool, http::Request request,
                  base::Duration timeout) -> boost::asio::awaitable<CallResult>
{
    const auto deadline = process::clock::now() + timeout;
    auto connection =
        co_await pool->acquire(connection::backend::Repeatable::Yes, process::clock::now());
    auto result = CallResult();
    if (!connection.ok()) {
        result.response = connection.status();
        co_return result;
    }
    result.sent = true;
    result.response = co_await http::exchangeWhole(**connection, request, deadline);
    if (result.response.ok())
        pool->release(std::move(*connection), process::clock::now());
    else
        (*connection)->close();
    co_return result;
}

auto sendFenced(std::shared_ptr<connection::backend::BackendPool> pool, http::Request request,
                base::Duration timeout, Fence fence) -> boost::asio::awaitable<CallResult>
{
    const auto deadline = process::clock::now() + timeout;
    auto connection =
        co_await pool->acquire(connection::backend::Repeatable::Yes, process::clock::now());
    auto result = CallResult();
    if (!connection.ok()) {
        result.response = connection.status();
        co_return result;
    }
    const auto call = fence.calls.begin(fence.number, process::clock::now());
    if (call == nullptr) {
        pool->release(std::move(*connection), process::clock::now());
        result.response =
            base::makeError(absl::StatusCode::kFailedPrecondition,
                            "the lease is not held, nothing was sent", { "platform.call", "" });
        co_return result;
    }
    result.sent = true;
    result.response =
        co_await http::exchangeWhole(**connection, request, std::min(deadline, call->until()));
    if (result.response.ok())
        pool->release(std::move(*connection), process::clock::now());
    else
        (*connection)->reset();
    co_return result;
}

} // namespace nutmegplank::platform
