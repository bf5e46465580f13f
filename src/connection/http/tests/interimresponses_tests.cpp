#include <thread>

#include <boost/asio.hpp>
#include <gtest/gtest.h>

#include "connection/http/httpclient.h"

using namespace nutmegplank;
using namespace nutmegplank::connection::http;
namespace asio = boost::asio;

namespace {

constexpr auto PATIENCE = std::chrono::seconds(5);
constexpr auto FINAL = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nbusy";

//! What a client makes of \a bytes as the answer to its request.
auto answerOf(const std::string &bytes) -> absl::StatusOr<Response>
{
    auto context = asio::io_context();
    auto acceptor = asio::ip::tcp::acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
    auto server = std::thread([&acceptor, &bytes] {
        auto socket = acceptor.accept();
        auto request = std::string();
        asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n");
        auto ignored = boost::system::error_code();
        asio::write(socket, asio::buffer(bytes), ignored);
        socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        asio::read(socket, asio::dynamic_buffer(request), ignored);
    });
    const auto endpoint = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    auto answer = asio::co_spawn(context, fetch(endpoint, Request(), PATIENCE), asio::use_future);
    context.run();
    server.join();
    return answer.get();
}

} // namespace

//! A relayed batch counted as accepted by its interim response 100; the refusal came after it.
TEST(InterimResponses, InterimResponses_BeforeTheFinalOne_AreSkipped)
{
    for (const auto *interim :
         { "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 102 Processing\r\n\r\n",
           "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" }) {
        const auto answer = answerOf(std::string(interim) + FINAL);
        ASSERT_TRUE(answer.ok()) << answer.status();
        EXPECT_EQ(answer->status, 503U);
        EXPECT_EQ(answer->body, "busy");
    }
}

TEST(InterimResponses, InterimResponses_WithoutAFinalOne_AreAnError)
{
    EXPECT_FALSE(answerOf("HTTP/1.1 100 Continue\r\n\r\n").ok());
    auto many = std::string();
    for (auto count = 0; count < 100; ++count)
        many += "HTTP/1.1 100 Continue\r\n\r\n";
    EXPECT_FALSE(answerOf(many + FINAL).ok());
}

TEST(InterimResponses, InterimResponses_SwitchOfTheProtocol_IsAnError)
{
    EXPECT_FALSE(answerOf(std::string("HTTP/1.1 101 Switching Protocols\r\n\r\n") + FINAL).ok());
}
