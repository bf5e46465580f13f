// A server in trouble sends bytes that are no answer and never stops: in a head, as interim
// answers, in the size line of a chunk, in trailers, in a body. Without a limit the client's buffer
// grows until the machine has no memory left, or the exchange never ends.
#include <atomic>
#include <thread>

#include <boost/asio.hpp>
#include <gtest/gtest.h>

#include "connection/http/httpclient.h"
#include "process/clock/clock.h"

using namespace nutmegplank;
using namespace nutmegplank::connection::http;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

//! Largest answer that the client takes.
constexpr auto BODY_LIMIT = std::uint64_t(512 * 1024);
//! The server gives up once it has written this much; loopback sockets buffer a few MB of it.
constexpr auto SERVER_LIMIT = std::size_t(64 * 1024 * 1024);
constexpr auto TIME_LIMIT = 20s;

struct EndlessCase
{
    const char *name;
    const char *beginning;
    const char *repeated;
};

//! Accepts one connection, reads the request's head and writes the case's bytes until the client
//! closes.
class EndlessServer
{
public:
    explicit EndlessServer(const EndlessCase &endless)
        : m_acceptor(m_context, { asio::ip::make_address("127.0.0.1"), 0 })
        , m_thread([this, endless] { serve(endless); })
    { }
    ~EndlessServer() { m_thread.join(); }
    EndlessServer(const EndlessServer &) = delete;
    auto operator=(const EndlessServer &) -> EndlessServer & = delete;

    auto endpoint() const -> std::string
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }
    auto written() const -> std::size_t { return m_written; }

private:
    auto serve(const EndlessCase &endless) -> void
    {
        auto socket = m_acceptor.accept();
        auto request = std::string();
        auto error = boost::system::error_code();
        asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", error);
        auto block = std::string();
        while (block.size() < 16 * 1024)
            block += endless.repeated;
        asio::write(socket, asio::buffer(std::string(endless.beginning)), error);
        while (!error && m_written < SERVER_LIMIT)
            m_written += asio::write(socket, asio::buffer(block), error);
    }

    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor;
    std::atomic<std::size_t> m_written { 0 };
    std::thread m_thread;
};

class EndlessAnswer : public testing::TestWithParam<EndlessCase>
{ };

} // namespace

TEST_P(EndlessAnswer, Http_EndlessAnswer_IsCutAtALimit)
{
    auto server = EndlessServer(GetParam());
    auto options = ConnectOptions();
    options.bodyBytes = BODY_LIMIT;
    auto context = asio::io_context();
    auto response = asio::co_spawn(
        context, fetch(server.endpoint(), { "GET", "/", {}, "", "" }, TIME_LIMIT, options),
        asio::use_future);
    const auto startedAt = process::clock::now();
    context.run();
    const auto result = response.get();
    EXPECT_LT(process::clock::now() - startedAt, TIME_LIMIT / 2);
    EXPECT_LT(server.written(), SERVER_LIMIT);
    const auto isInterim = result.ok() && result->status < 200;
    EXPECT_TRUE(!result.ok() || isInterim);
}

//! The server is sound: it must not be taken for one that went away.
TEST(TooLargeAnswer, Http_AnswerOverTheLimit_IsNamedAsSuch)
{
    for (const auto *head :
         { "HTTP/1.1 200 OK\r\nContent-Length: 67108864\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n" }) {
        auto server = EndlessServer({ "TooLarge", head, "x" });
        auto options = ConnectOptions();
        options.bodyBytes = BODY_LIMIT;
        auto context = asio::io_context();
        auto response = asio::co_spawn(
            context, fetch(server.endpoint(), { "GET", "/", {}, "", "" }, TIME_LIMIT, options),
            asio::use_future);
        context.run();
        const auto result = response.get();
        ASSERT_FALSE(result.ok());
        EXPECT_TRUE(isTooLarge(result.status()));
        EXPECT_FALSE(isRefused(result.status()));
    }
}

TEST(RefusedConnection, Http_NothingListens_IsNamedAsSuch)
{
    auto context = asio::io_context();
    auto acceptor = asio::ip::tcp::acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
    const auto endpoint = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    acceptor.close();
    auto connection = asio::co_spawn(context, connect(endpoint), asio::use_future);
    context.run();
    const auto result = connection.get();
    ASSERT_FALSE(result.ok());
    EXPECT_TRUE(isRefused(result.status()));
    EXPECT_FALSE(isTooLarge(result.status()));
}

INSTANTIATE_TEST_SUITE_P(
    Http, EndlessAnswer,
    testing::Values(
        EndlessCase { "StatusLine", "", "x" },
        EndlessCase { "Header", "HTTP/1.1 200 OK\r\nX-Long: ", "x" },
        EndlessCase { "Headers", "HTTP/1.1 200 OK\r\n", "X-Again: 1\r\n" },
        EndlessCase { "InterimAnswers", "", "HTTP/1.1 100 Continue\r\n\r\n" },
        EndlessCase { "ChunkSize", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0" },
        EndlessCase { "ChunkExtension",
                      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;a=", "x" },
        EndlessCase { "Trailer",
                      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Long: ", "x" },
        EndlessCase { "Chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                      "1\r\nx\r\n" },
        EndlessCase { "BodyWithoutLength", "HTTP/1.1 200 OK\r\n\r\n", "x" }),
    [](const auto &info) { return std::string(info.param.name); });
