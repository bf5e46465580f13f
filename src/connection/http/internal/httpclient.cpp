#include "connection/http/httpclient.h"

#include <netinet/tcp.h>

#include <boost/asio.hpp>
#include <boost/asio/ssl.hpp>
#include <boost/beast/ssl.hpp>

#include "base/status.h"
#include "connection/http/internal/httpconnection.h"
#include "process/clock/clock.h"

namespace nutmegplank::connection::http {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using Tcp = asio::ip::tcp;
using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

constexpr auto USE_TUPLE = asio::as_tuple(asio::use_awaitable);
//! A step that begins at the deadline still takes what has already arrived.
constexpr auto LEAST_STEP_TIME = base::Duration(std::chrono::milliseconds(1));

auto toEndpoint(const std::string &text) -> absl::StatusOr<Tcp::endpoint>
{
    const auto colon = text.rfind(':');
    auto error = beast::error_code();
    const auto address = asio::ip::make_address(text.substr(0, colon), error);
    const auto port = colon == std::string::npos ? 0 : std::atoi(text.c_str() + colon + 1);
    if (error || port <= 0 || port > std::numeric_limits<std::uint16_t>::max())
        return base::makeError(absl::StatusCode::kInvalidArgument, "no IP number with a port",
                               { "http.connect", text });
    return Tcp::endpoint(address, static_cast<std::uint16_t>(port));
}

auto failure(std::string_view step, const std::string &peer, beast::error_code error)
    -> absl::Status
{
    const auto refused = error == asio::error::connection_refused;
    const auto code =
        refused ? absl::StatusCode::kFailedPrecondition : absl::StatusCode::kUnavailable;
    return base::makeError(code, error.message(), { std::string(step), peer });
}

auto timeLeft(base::TimePoint deadline) -> base::Duration
{
    return std::max(LEAST_STEP_TIME, deadline - process::clock::now());
}

//! Appends the body of \a response to it, after its head was read.
auto readWholeBody(IHttpConnection &connection, Response &response, base::TimePoint deadline)
    -> asio::awaitable<absl::Status>
{
    while (true) {
        auto part = co_await connection.readBody(timeLeft(deadline));
        if (!part.ok())
            co_return part.status();
        if (!part->has_value())
            co_return absl::OkStatus();
        response.body += **part;
    }
}

} // namespace

auto isRefused(const absl::Status &status) -> bool
{
    return status.code() == absl::StatusCode::kFailedPrecondition;
}

auto isTooLarge(const absl::Status &status) -> bool
{
    return status.code() == absl::StatusCode::kOutOfRange;
}

auto connect(std::string endpoint, ConnectOptions options)
    -> asio::awaitable<absl::StatusOr<std::unique_ptr<IHttpConnection>>>
{
    const auto target = toEndpoint(endpoint);
    if (!target.ok())
        co_return target.status();
    auto stream = beast::tcp_stream(co_await asio::this_coro::executor);
    stream.expires_after(options.timeout);
    auto [error] = co_await stream.async_connect(*target, USE_TUPLE);
    if (error)
        co_return failure("http.connect", endpoint, error);
    auto ignored = beast::error_code();
    stream.socket().set_option(Tcp::no_delay(true), ignored);
    if (options.userTimeout.count() > 0)
        stream.socket().set_option(
            UserTimeout(static_cast<int>(base::toMilliseconds(options.userTimeout))), ignored);
    if (options.tls == nullptr)
        co_return std::make_unique<HttpConnection<beast::tcp_stream>>(std::move(stream), endpoint,
                                                                      options.bodyBytes);
    auto secure = beast::ssl_stream<beast::tcp_stream>(std::move(stream), *options.tls);
    auto [handshakeError] =
        co_await secure.async_handshake(asio::ssl::stream_base::client, USE_TUPLE);
    if (handshakeError)
        co_return failure("http.handshake", endpoint, handshakeError);
    co_return std::make_unique<HttpConnection<beast::ssl_stream<beast::tcp_stream>>>(
        std::move(secure), endpoint, options.bodyBytes);
}

auto discardBody(IHttpConnection &connection, std::function<base::Duration()> timeLeft)
    -> asio::awaitable<absl::Status>
{
    while (true) {
        const auto part = co_await connection.readBody(timeLeft());
        if (!part.ok())
            co_return part.status();
        if (!part->has_value())
            co_return absl::OkStatus();
    }
}

auto exchangeWhole(IHttpConnection &connection, const Request &request, base::TimePoint deadline)
    -> asio::awaitable<absl::StatusOr<Response>>
{
    const auto sent = co_await connection.send(request, timeLeft(deadline));
    if (!sent.ok())
        co_return sent;
    auto response = co_await connection.readHead(timeLeft(deadline));
    if (!response.ok())
        co_return response;
    const auto read = co_await readWholeBody(connection, *response, deadline);
    if (!read.ok())
        co_return read;
    co_return response;
}

auto fetch(std::string endpoint, Request request, base::Duration timeout, ConnectOptions options)
    -> asio::awaitable<absl::StatusOr<Response>>
{
    const auto deadline = process::clock::now() + timeout;
    options.timeout = std::min(options.timeout, timeout);
    auto connection = co_await connect(endpoint, options);
    if (!connection.ok())
        co_return connection.status();
    co_return co_await exchangeWhole(**connection, request, deadline);
}

} // namespace nutmegplank::connection::http
