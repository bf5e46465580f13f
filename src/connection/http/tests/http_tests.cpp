#include <thread>

#include <boost/asio.hpp>
#include <gtest/gtest.h>

#include "connection/http/httpclient.h"
#include "connection/http/httpserver.h"

using namespace nutmegplank;
using namespace nutmegplank::connection::http;
namespace asio = boost::asio;

namespace {

constexpr auto PATIENCE = std::chrono::seconds(5);

//! A server that answers by path, and a client beside it, on two threads.
class HttpTest : public testing::Test
{
protected:
    auto SetUp() -> void override
    {
        auto limits = ServerLimits();
        limits.bodyBytes = 1000;
        limits.headerBytes = 2000;
        limits.headerTime = std::chrono::milliseconds(300);
        m_server = std::make_unique<HttpServer>(
            m_context, limits,
            [](Request request, IHttpResponder &responder) -> asio::awaitable<void> {
                if (request.target == "/cut") {
                    co_await responder.startStream(Response());
                    co_await responder.writeChunk("half");
                    responder.abort();
                    co_return;
                }
                if (request.target == "/twice") {
                    co_await responder.respond(jsonResponse(200, "first"));
                    co_await responder.respond(jsonResponse(502, "second"));
                    co_return;
                }
                if (request.target == "/second-head") {
                    co_await responder.startStream(Response());
                    co_await responder.writeChunk("half");
                    co_await responder.respond(jsonResponse(502, "refusal"));
                    co_return;
                }
                if (request.target == "/second-stream") {
                    co_await responder.startStream(Response());
                    co_await responder.startStream(Response());
                    co_await responder.writeChunk("half");
                    co_await responder.endStream();
                    co_return;
                }
                if (request.target == "/headless") {
                    co_await responder.writeChunk("half");
                    co_await responder.endStream();
                    co_return;
                }
                if (request.target == "/throw")
                    throw std::runtime_error("unexpected");
                if (request.target == "/stream") {
                    co_await responder.startStream(Response());
                    co_await responder.writeChunk("one,");
                    co_await responder.writeChunk("two");
                    co_await responder.endStream();
                    co_return;
                }
                co_await responder.respond(jsonResponse(200, request.method + request.body));
            });
        m_endpoint = "127.0.0.1:" + std::to_string(*m_server->listen("127.0.0.1", 0));
        for (auto &worker : m_workers)
            worker = std::thread([this] { m_context.run(); });
    }
    auto TearDown() -> void override
    {
        m_context.stop();
        for (auto &worker : m_workers)
            worker.join();
    }
    auto ask(Request request) -> absl::StatusOr<Response>
    {
        return asio::co_spawn(m_context, fetch(m_endpoint, std::move(request), PATIENCE),
                              asio::use_future)
            .get();
    }
    //! Whether the server counts no exchange any more; it does so just after it has written a
    //! response, on a thread of its own.
    auto becomesIdle() -> bool
    {
        const auto until = std::chrono::steady_clock::now() + PATIENCE;
        while (m_server->activeExchanges() > 0 && std::chrono::steady_clock::now() < until)
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        return m_server->activeExchanges() == 0;
    }
    //! Sends raw text and gives all that the server answers until it closes.
    auto exchangeRaw(const std::string &text) -> std::string
    {
        auto context = asio::io_context();
        auto socket = asio::ip::tcp::socket(context);
        const auto port =
            static_cast<std::uint16_t>(std::stoi(m_endpoint.substr(m_endpoint.rfind(':') + 1)));
        socket.connect({ asio::ip::make_address("127.0.0.1"), port });
        asio::write(socket, asio::buffer(text));
        auto answer = std::string();
        auto error = boost::system::error_code();
        asio::read(socket, asio::dynamic_buffer(answer), error);
        return answer;
    }

    asio::io_context m_context;
    std::unique_ptr<HttpServer> m_server;
    std::string m_endpoint;
    std::array<std::thread, 2> m_workers;
};

} // namespace

TEST_F(HttpTest, Http_Fetch_GivesWholeAnswer)
{
    const auto response = ask({ "POST", "/", {}, "body", "" });
    ASSERT_TRUE(response.ok());
    EXPECT_EQ(response->body, "POSTbody");
}

TEST_F(HttpTest, Http_Fetch_JoinsChunks)
{
    EXPECT_EQ(ask({ "GET", "/stream", {}, "", "" })->body, "one,two");
}

//! The line break in a value made the rest of it a header of its own.
TEST_F(HttpTest, Http_Fetch_RequestThatCannotBeSentAsItIs_IsAnError)
{
    for (const auto &header : Headers { { "X-Note", "a\r\nX-Other: b" },
                                        { "X-Note", "a\nb" },
                                        { "X-Note", std::string("a\0b", 3) },
                                        { "X Note", "a" },
                                        { "X-Note:", "a" },
                                        { "", "a" } })
        EXPECT_FALSE(ask({ "GET", "/", { header } }).ok()) << header.name;
    for (const auto *target : { "", "/a b", "/a\r\nX-Other: b" })
        EXPECT_FALSE(ask({ "GET", target }).ok()) << target;
    EXPECT_TRUE(ask({ "GET", "/\xc3\xa9?q=\"", { { "X-Note", "a\tb \xc3\xa9" } } }).ok());
}

TEST_F(HttpTest, Http_Fetch_TruncatedAnswerIsAnError)
{
    EXPECT_FALSE(ask({ "GET", "/cut", {}, "", "" }).ok());
}

//! An unexpected error in one handler must neither end the process nor keep a planned stop waiting
//! for an exchange that is over.
TEST_F(HttpTest, Http_HandlerThrows_EndsThatConnectionAlone)
{
    EXPECT_FALSE(ask({ "GET", "/throw", {}, "", "" }).ok());
    EXPECT_TRUE(ask({ "GET", "/", {}, "", "" }).ok());
    EXPECT_TRUE(becomesIdle());
}

TEST_F(HttpTest, Http_Server_RefusesOversizedBodyAndHeader)
{
    EXPECT_EQ(ask({ "POST", "/", {}, std::string(2000, 'x'), "" })->status, 413U);
    EXPECT_EQ(ask({ "GET", "/", { { "X", std::string(3000, 'x') } }, "", "" })->status, 431U);
}

TEST_F(HttpTest, Http_Server_RefusesMalformedRequests)
{
    EXPECT_NE(exchangeRaw("NONSENSE\r\n\r\n").find(" 400 "), std::string::npos);
}

TEST_F(HttpTest, Http_Server_ClosesOnSlowRequests)
{
    EXPECT_EQ(exchangeRaw("GET / HTTP/1.1\r\nHost: x\r\n"), "");
}

//! A refusal was written into the open answer of a stream (review/15).
TEST_F(HttpTest, Http_SecondHead_EndsTheConnectionAndIsNotWritten)
{
    for (const auto *target : { "/twice", "/second-head", "/second-stream", "/headless" }) {
        const auto answer = exchangeRaw("POST " + std::string(target)
                                        + " HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n"
                                          "Connection: close\r\n\r\n");
        const auto first = answer.find("HTTP/1.1 ");
        EXPECT_EQ(answer.find("HTTP/1.1 ", first + 1), std::string::npos) << target << answer;
        EXPECT_EQ(answer.find("502"), std::string::npos) << target << answer;
        EXPECT_EQ(answer.find("0\r\n\r\n"), std::string::npos) << target << answer;
        EXPECT_TRUE(becomesIdle()) << target;
    }
    EXPECT_TRUE(ask({ "POST", "/", {}, "body", "" }).ok());
}
