#include <array>
#include <random>
#include <thread>

#include <boost/asio.hpp>
#include <gtest/gtest.h>

#include "connection/http/httpclient.h"
#include "connection/http/httpserver.h"

using namespace nutmegplank;
using namespace nutmegplank::connection::http;

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

constexpr auto BODY_LIMIT = std::uint64_t(200'000);
constexpr auto INTAKE_BYTES = std::uint64_t(300'000);
constexpr auto CONNECTION_LIMIT = 4U;
constexpr auto PATIENCE = std::chrono::seconds(10);
constexpr auto FUZZ_STREAMS = 10'000;
constexpr auto FUZZ_SEED = 36U;
constexpr auto ADDRESSES = 40;

class CallerBoundsTest : public testing::Test
{
protected:
    auto SetUp() -> void override
    {
        auto limits = ServerLimits();
        limits.bodyBytes = BODY_LIMIT;
        limits.headerBytes = 2000;
        limits.connections = CONNECTION_LIMIT;
        auto intake = process::memory::IntakeLimits();
        intake.bytes = INTAKE_BYTES;
        intake.smallBody = 20'000;
        intake.window = std::chrono::milliseconds(50);
        intake.patience = std::chrono::milliseconds(300);
        m_intake = std::make_shared<process::memory::BodyIntake>(intake);
        auto bounds = CallerBounds();
        bounds.intake = m_intake;
        bounds.onTurnedAway = [this](TurnedAway reason) {
            ++m_turnedAway.at(static_cast<std::size_t>(reason));
        };
        m_server = std::make_unique<HttpServer>(
            m_context, limits,
            [](Request request, IHttpResponder &responder) -> asio::awaitable<void> {
                co_await responder.respond(jsonResponse(200, std::to_string(request.body.size())));
            },
            TlsContextSource(), std::move(bounds));
        m_port = *m_server->listen("127.0.0.1", 0);
        m_worker = std::thread([this] { m_context.run(); });
    }
    auto TearDown() -> void override
    {
        m_context.stop();
        m_worker.join();
    }
    auto connect(const std::string &from = "127.0.0.1") -> Tcp::socket
    {
        auto socket = Tcp::socket(m_clients, { asio::ip::make_address(from), 0 });
        socket.connect({ asio::ip::make_address("127.0.0.1"), m_port });
        return socket;
    }
    static auto send(Tcp::socket &socket, const std::string &text) -> void
    {
        auto ignored = boost::system::error_code();
        asio::write(socket, asio::buffer(text), ignored);
    }
    static auto readAll(Tcp::socket &socket) -> std::string
    {
        auto answer = std::string();
        auto ignored = boost::system::error_code();
        asio::read(socket, asio::dynamic_buffer(answer), ignored);
        return answer;
    }
    static auto head(std::uint64_t length) -> std::string
    {
        return "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(length)
            + "\r\n\r\n";
    }
    template <typename Holds>
    static auto eventually(Holds holds) -> bool
    {
        const auto until = std::chrono::steady_clock::now() + PATIENCE;
        while (!holds() && std::chrono::steady_clock::now() < until)
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        return holds();
    }
    auto turnedAway(TurnedAway reason) const -> int
    {
        return m_turnedAway.at(static_cast<std::size_t>(reason));
    }

    asio::io_context m_context;
    asio::io_context m_clients;
    std::shared_ptr<process::memory::BodyIntake> m_intake;
    std::array<std::atomic<int>, TURNED_AWAY_NAMES.size()> m_turnedAway {};
    std::unique_ptr<HttpServer> m_server;
    std::uint16_t m_port = 0;
    std::thread m_worker;
};

} // namespace

TEST_F(CallerBoundsTest, CallerBounds_StalledBody_SeesARefusalAndAnotherIsServed)
{
    auto stalled = connect();
    send(stalled, head(BODY_LIMIT) + std::string(BODY_LIMIT - 1, 'x'));
    ASSERT_TRUE(eventually([this] { return m_intake->held() > BODY_LIMIT - 20'000; }));
    auto other = connect();
    send(other, head(BODY_LIMIT) + std::string(BODY_LIMIT, 'x'));
    auto answer = std::array<char, 12>();
    asio::read(other, asio::buffer(answer));
    EXPECT_EQ(std::string(answer.data(), answer.size()), "HTTP/1.1 200");
    const auto refusal = readAll(stalled);
    EXPECT_TRUE(refusal.starts_with("HTTP/1.1 503")) << refusal;
    EXPECT_NE(refusal.find("Retry-After: 1\r\n"), std::string::npos) << refusal;
    EXPECT_EQ(turnedAway(TurnedAway::Stalled), 1);
    EXPECT_TRUE(eventually([this] { return m_intake->held() == 0; }));
}

TEST_F(CallerBoundsTest, CallerBounds_BodyOverTheLimit_SenderSeesTheRefusal)
{
    for (const auto *framing :
         { "Content-Length: 600000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n927c0\r\n" }) {
        auto socket = connect();
        send(socket,
             std::string("POST / HTTP/1.1\r\nHost: a\r\n") + framing
                 + std::string(BODY_LIMIT, 'x'));
        const auto refusal = readAll(socket);
        EXPECT_TRUE(refusal.starts_with("HTTP/1.1 413")) << refusal;
    }
    EXPECT_EQ(turnedAway(TurnedAway::TooLarge), 2);
    EXPECT_EQ(m_intake->held(), 0U);
}

TEST_F(CallerBoundsTest, CallerBounds_ChunksOfOneByte_HoldNoMoreThanTheirBytes)
{
    auto socket = connect();
    auto body = std::string();
    for (auto chunk = 0; chunk < 15'000; ++chunk)
        body += "1\r\nx\r\n";
    send(socket, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + body);
    ASSERT_TRUE(eventually([this] { return m_intake->held() >= 15'000; })) << m_intake->held();
    EXPECT_LT(m_intake->held(), 50'000U);
    send(socket, "0\r\n\r\n");
    auto answer = std::array<char, 12>();
    asio::read(socket, asio::buffer(answer));
    EXPECT_EQ(std::string(answer.data(), answer.size()), "HTTP/1.1 200");
}

TEST_F(CallerBoundsTest, CallerBounds_ChunkExtensionsWithoutEnd_AreRefused)
{
    auto socket = connect();
    auto body = std::string();
    for (auto chunk = 0; chunk < 100; ++chunk)
        body += "1;name=" + std::string(50, 'v') + "\r\nx\r\n";
    send(socket, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + body);
    EXPECT_TRUE(readAll(socket).starts_with("HTTP/1.1 431"));
}

TEST_F(CallerBoundsTest, CallerBounds_AllConnectionsIdle_TheLongestIdleGivesItsPlace)
{
    auto sockets = std::vector<Tcp::socket>();
    for (auto number = 1U; number <= CONNECTION_LIMIT; ++number) {
        sockets.push_back(connect());
        ASSERT_TRUE(eventually([&] { return m_server->connectionCount() == number; }));
    }
    // Until the last of them waits for its first request.
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    auto newest = connect();
    send(newest, head(1) + "x");
    auto answer = std::array<char, 12>();
    asio::read(newest, asio::buffer(answer));
    EXPECT_EQ(std::string(answer.data(), answer.size()), "HTTP/1.1 200");
    EXPECT_EQ(readAll(sockets.front()), "");
    EXPECT_EQ(turnedAway(TurnedAway::Idle), 1);
}

TEST_F(CallerBoundsTest, CallerBounds_RandomStreams_HoldNoMoreThanTheBoundAndGiveAllBack)
{
    auto random = std::mt19937(FUZZ_SEED);
    auto answered = 0;
    const auto number = [&random](std::size_t limit) { return random() % limit; };
    for (auto stream = 0; stream < FUZZ_STREAMS; ++stream) {
        auto text = std::string("POST / HTTP/1.1\r\nHost: a\r\n");
        if (number(2) == 0) {
            const auto length = number(3000);
            text +=
                "Content-Length: " + std::to_string(length) + "\r\n\r\n" + std::string(length, 'x');
        } else {
            text += "Transfer-Encoding: chunked\r\n\r\n";
            for (auto chunk = number(20); chunk > 0; --chunk)
                text += "5;e=" + std::string(number(60), 'v') + "\r\nabcde\r\n";
            text += "0\r\nTrailer: t\r\n\r\n";
        }
        for (auto change = number(4); change > 0; --change)
            text[number(text.size())] = static_cast<char>(number(256));
        // Closed connections keep their ports for a while, for each address.
        auto socket = connect("127.0.0." + std::to_string(2 + stream % ADDRESSES));
        send(socket, text.substr(0, number(text.size() + 1)));
        ASSERT_LE(m_intake->held(), INTAKE_BYTES);
        auto ignored = boost::system::error_code();
        socket.shutdown(Tcp::socket::shutdown_send, ignored);
        answered += readAll(socket).empty() ? 0 : 1;
    }
    EXPECT_GT(answered, FUZZ_STREAMS / 10);
    EXPECT_TRUE(eventually([this] { return m_server->connectionCount() == 0; }));
    EXPECT_EQ(m_intake->held(), 0U);
}
