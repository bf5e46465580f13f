#pragma once

#include <string>
#include <thread>

#include <boost/asio.hpp>

#include "connection/http/httpclient.h"

namespace nutmegplank::connection::http::tests {

//! What a server does with the connection once it has sent its answer.
enum class AfterAnswer {
    Close,
    KeepOpen,
};

//! What a client makes of \a bytes as the answer to its request.
inline auto answerOf(const std::string &bytes, AfterAnswer after = AfterAnswer::Close)
    -> absl::StatusOr<Response>
{
    namespace asio = boost::asio;
    constexpr auto PATIENCE = std::chrono::seconds(5);
    auto context = asio::io_context();
    auto acceptor = asio::ip::tcp::acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
    auto server = std::thread([&acceptor, &bytes, after] {
        auto socket = acceptor.accept();
        auto request = std::string();
        asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n");
        auto ignored = boost::system::error_code();
        asio::write(socket, asio::buffer(bytes), ignored);
        if (after == AfterAnswer::Close)
            socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        asio::read(socket, asio::dynamic_buffer(request), ignored);
    });
    const auto endpoint = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    auto answer = asio::co_spawn(context, fetch(endpoint, Request(), PATIENCE), asio::use_future);
    context.run();
    server.join();
    return answer.get();
}

} // namespace nutmegplank::connection::http::tests
