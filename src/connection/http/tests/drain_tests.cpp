// A planned stop under load: a request arrives just before the server drains, and is still in the
// system's buffers when the server looks for idle connections to close. Closing such a connection
// cuts off a request that the caller has sent whole.
#include <boost/asio.hpp>
#include <gtest/gtest.h>

#include "connection/http/httpserver.h"

using namespace nutmegplank;
using namespace nutmegplank::connection::http;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

constexpr auto REQUEST = "POST /orders HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab";
constexpr auto SETTLE_TIME = 30ms;
constexpr auto ANSWER_TIME = 1s;

//! The test runs the server's event loop step by step, so that the order of events is certain.
class DrainTest : public testing::Test
{
protected:
    auto SetUp() -> void override
    {
        m_server = std::make_unique<HttpServer>(
            m_context, ServerLimits(),
            [](Request request, IHttpResponder &responder) -> asio::awaitable<void> {
                co_await responder.respond(jsonResponse(200, request.body));
            });
        m_port = *m_server->listen("127.0.0.1", 0);
    }
    auto connect() -> asio::ip::tcp::socket
    {
        auto socket = asio::ip::tcp::socket(m_clientContext);
        socket.connect({ asio::ip::make_address("127.0.0.1"), m_port });
        return socket;
    }
    //! All that the server has sent by the time it closes the connection.
    auto answer(asio::ip::tcp::socket &socket) -> std::string
    {
        m_context.run_for(ANSWER_TIME);
        auto text = std::string();
        auto error = boost::system::error_code();
        asio::read(socket, asio::dynamic_buffer(text), error);
        return text;
    }

    asio::io_context m_context;
    asio::io_context m_clientContext;
    std::unique_ptr<HttpServer> m_server;
    std::uint16_t m_port = 0;
};

} // namespace

TEST_F(DrainTest, Http_Drain_AnswersARequestOnAnIdleConnection)
{
    auto socket = connect();
    m_context.run_for(SETTLE_TIME);
    asio::write(socket, asio::buffer(std::string(REQUEST)));
    m_server->drain();
    const auto text = answer(socket);
    EXPECT_NE(text.find(" 200 "), std::string::npos) << text;
    EXPECT_NE(text.find("Connection: close"), std::string::npos) << text;
}

TEST_F(DrainTest, Http_Drain_AnswersARequestOnAConnectionNotYetAccepted)
{
    m_context.run_for(SETTLE_TIME);
    auto socket = connect();
    asio::write(socket, asio::buffer(std::string(REQUEST)));
    m_server->drain();
    EXPECT_NE(answer(socket).find(" 200 "), std::string::npos);
}

TEST_F(DrainTest, Http_Drain_AnswersARequestThatIsHalfRead)
{
    auto socket = connect();
    const auto request = std::string(REQUEST);
    asio::write(socket, asio::buffer(request.substr(0, 40)));
    m_context.run_for(SETTLE_TIME);
    m_server->drain();
    m_context.run_for(SETTLE_TIME);
    asio::write(socket, asio::buffer(request.substr(40)));
    EXPECT_NE(answer(socket).find(" 200 "), std::string::npos);
}

TEST_F(DrainTest, Http_Drain_ClosesIdleConnectionsAtOnce)
{
    auto socket = connect();
    m_context.run_for(SETTLE_TIME);
    m_server->drain();
    EXPECT_EQ(answer(socket), "");
    EXPECT_EQ(m_server->connectionCount(), 0U);
}
