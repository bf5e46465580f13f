#include "connection/http/httpserver.h"

#include <boost/asio.hpp>
#include <boost/asio/ssl.hpp>
#include <boost/beast/ssl.hpp>

#include "base/text.h"
#include "connection/http/internal/httpsession.h"
#include "process/clock/clock.h"

namespace nutmegplank::connection::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using Tcp = asio::ip::tcp;

namespace {

constexpr auto USE_TUPLE = asio::as_tuple(asio::use_awaitable);
constexpr auto ACCEPT_PAUSE = std::chrono::milliseconds(20);

auto nameOf(const Tcp::socket &socket) -> std::string
{
    auto error = beast::error_code();
    const auto remote = socket.remote_endpoint(error);
    return error ? std::string("unknown")
                 : base::concat(remote.address().to_string(), ":", remote.port());
}

auto servePlain(std::shared_ptr<SessionHost> host, Tcp::socket socket) -> asio::awaitable<void>
{
    const auto peer = nameOf(socket);
    auto session = std::make_shared<HttpSession<beast::tcp_stream>>(
        std::move(host), beast::tcp_stream(std::move(socket)), peer);
    co_await session->run();
}

auto serveTls(std::shared_ptr<SessionHost> host, Tcp::socket socket,
              std::shared_ptr<asio::ssl::context> tls) -> asio::awaitable<void>
{
    const auto peer = nameOf(socket);
    auto stream = beast::ssl_stream<beast::tcp_stream>(beast::tcp_stream(std::move(socket)), *tls);
    beast::get_lowest_layer(stream).expires_after(host->limits.load()->headerTime);
    auto [error] = co_await stream.async_handshake(asio::ssl::stream_base::server, USE_TUPLE);
    if (error)
        co_return;
    auto session = std::make_shared<HttpSession<beast::ssl_stream<beast::tcp_stream>>>(
        std::move(host), std::move(stream), peer);
    co_await session->run();
}

} // namespace

struct HttpServer::State : std::enable_shared_from_this<HttpServer::State>
{
    State(asio::io_context &ioContext, TlsContextSource tlsSource)
        : context(ioContext)
        , acceptor(ioContext)
        , tls(std::move(tlsSource))
        , host(std::make_shared<SessionHost>())
    { }

    auto accept() -> asio::awaitable<void>
    {
        while (!host->draining) {
            auto socket = Tcp::socket(asio::make_strand(context));
            auto [error] = co_await acceptor.async_accept(socket, USE_TUPLE);
            if (error == asio::error::operation_aborted)
                co_return;
            if (error) {
                auto pause = asio::steady_timer(context, ACCEPT_PAUSE);
                co_await pause.async_wait(USE_TUPLE);
                continue;
            }
            start(std::move(socket));
        }
    }

    //! Connections in the system's queue may already hold requests; closing the acceptor would
    //! reset them.
    auto closeAcceptor() -> void
    {
        auto error = beast::error_code();
        acceptor.non_blocking(true, error);
        while (!error) {
            auto socket = Tcp::socket(asio::make_strand(context));
            acceptor.accept(socket, error);
            if (!error)
                start(std::move(socket));
        }
        acceptor.close(error);
    }

    auto start(Tcp::socket socket) -> void
    {
        if (host->connections >= host->limits.load()->connections
            && !host->makePlace(process::clock::now())) {
            host->note(TurnedAway::NoPlace);
            return;
        }
        auto ignored = beast::error_code();
        socket.set_option(Tcp::no_delay(true), ignored);
        const auto executor = socket.get_executor();
        if (tls)
            asio::co_spawn(executor, serveTls(host, std::move(socket), tls()), asio::detached);
        else
            asio::co_spawn(executor, servePlain(host, std::move(socket)), asio::detached);
    }

    asio::io_context &context;
    Tcp::acceptor acceptor;
    TlsContextSource tls;
    std::shared_ptr<SessionHost> host;
};

HttpServer::HttpServer(asio::io_context &context, ServerLimits limits, HttpHandler handler,
                       TlsContextSource tls, CallerBounds bounds)
    : m_state(std::make_shared<State>(context, std::move(tls)))
{
    m_state->host->bounds = std::move(bounds);
    setLimits(limits);
    m_state->host->handler = std::move(handler);
}

HttpServer::~HttpServer()
{
    drain();
}

auto HttpServer::listen(const std::string &address, std::uint16_t port)
    -> absl::StatusOr<std::uint16_t>
{
    auto error = beast::error_code();
    const auto endpoint = Tcp::endpoint(asio::ip::make_address(address, error), port);
    auto &acceptor = m_state->acceptor;
    if (!error)
        acceptor.open(endpoint.protocol(), error);
    if (!error)
        acceptor.set_option(asio::socket_base::reuse_address(true), error);
    // Accepted connections have the same size; later on it would not bound the window any more.
    const auto receiveBuffer = m_state->host->bounds.receiveBufferBytes;
    if (!error && receiveBuffer > 0)
        acceptor.set_option(asio::socket_base::receive_buffer_size(receiveBuffer), error);
    if (!error)
        acceptor.bind(endpoint, error);
    if (!error)
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return base::makeError(absl::StatusCode::kUnavailable, error.message(),
                               { "http.listen", base::concat(address, ":", port) });
    asio::co_spawn(
        m_state->context, [state = m_state]() { return state->accept(); }, asio::detached);
    return acceptor.local_endpoint().port();
}

auto HttpServer::setLimits(ServerLimits limits) -> void
{
    m_state->host->limits = std::make_shared<const ServerLimits>(limits);
}

auto HttpServer::announceClose() -> void
{
    m_state->host->closing = true;
}

auto HttpServer::drain() -> void
{
    m_state->host->draining = true;
    m_state->host->wakeIdle();
    asio::post(m_state->context, [state = m_state] { state->closeAcceptor(); });
}

auto HttpServer::connectionCount() const -> std::size_t
{
    return m_state->host->connections;
}

auto HttpServer::activeExchanges() const -> std::size_t
{
    return m_state->host->exchanges;
}

} // namespace nutmegplank::connection::http
