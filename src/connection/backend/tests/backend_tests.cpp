#include <thread>

#include <gtest/gtest.h>

#include "base/text.h"
#include "connection/backend/backendpool.h"
#include "connection/backend/cleanheaders.h"
#include "connection/backend/probe.h"
#include "connection/http/httpserver.h"

using namespace nutmegplank;
using namespace nutmegplank::connection;
using namespace nutmegplank::connection::backend;
namespace asio = boost::asio;

namespace {

constexpr auto PATIENCE = std::chrono::seconds(5);
constexpr auto PROBE_TIME = std::chrono::milliseconds(200);
constexpr auto NOW = base::TimePoint(std::chrono::seconds(100));

//! A server that answers, or that takes connections and stays silent.
class BackendTest : public testing::Test
{
protected:
    auto SetUp() -> void override
    {
        m_server = std::make_unique<http::HttpServer>(
            m_context, http::ServerLimits(),
            [this](http::Request, http::IHttpResponder &responder) -> asio::awaitable<void> {
                auto timer = asio::steady_timer(m_context);
                timer.expires_after(m_silent ? PATIENCE : std::chrono::seconds(0));
                co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
                auto response =
                    http::jsonResponse(200, R"({"boot_id":"b","running":3,"weight_version":7})");
                (void)co_await responder.respond(std::move(response));
            });
        m_endpoint = base::concat("127.0.0.1:", *m_server->listen("127.0.0.1", 0));
        m_worker = std::thread([this] { m_context.run(); });
    }
    auto TearDown() -> void override
    {
        m_context.stop();
        m_worker.join();
    }
    template <typename Result>
    auto await(asio::awaitable<Result> work) -> Result
    {
        return asio::co_spawn(m_context, std::move(work), asio::use_future).get();
    }
    auto take(BackendPool &pool, Repeatable repeatable, base::TimePoint now) -> ConnectionPtr
    {
        return await(pool.acquire(repeatable, now)).value();
    }
    //! One exchange on \a connection, its answer read or left unread.
    auto exchange(ConnectionPtr connection, bool readsAnswer) -> asio::awaitable<bool>
    {
        const auto request = http::Request();
        const auto sent = co_await connection->send(request, PATIENCE);
        if (!sent.ok() || !readsAnswer)
            co_return sent.ok();
        const auto head = co_await connection->readHead(PATIENCE);
        auto part = co_await connection->readBody(PATIENCE);
        while (part.ok() && part->has_value())
            part = co_await connection->readBody(PATIENCE);
        co_return head.ok() && part.ok();
    }

    asio::io_context m_context;
    std::unique_ptr<http::HttpServer> m_server;
    std::string m_endpoint;
    std::atomic<bool> m_silent = false;
    std::thread m_worker;
};

} // namespace

TEST_F(BackendTest, BackendPool_AnsweredConnection_IsKeptForAWhile)
{
    auto pool = BackendPool(m_endpoint, BackendPoolOptions());
    auto connection = take(pool, Repeatable::Yes, NOW);
    const auto *address = connection.get();
    EXPECT_TRUE(await(exchange(connection, true)));
    pool.release(std::move(connection), NOW);
    EXPECT_EQ(pool.idleCount(), 1U);
    EXPECT_EQ(take(pool, Repeatable::Yes, NOW + std::chrono::seconds(5)).get(), address);
}

TEST_F(BackendTest, BackendPool_UnansweredConnection_IsNeverUsedAgain)
{
    auto pool = BackendPool(m_endpoint, BackendPoolOptions());
    auto connection = take(pool, Repeatable::Yes, NOW);
    EXPECT_TRUE(await(exchange(connection, false)));
    pool.release(std::move(connection), NOW);
    EXPECT_EQ(pool.idleCount(), 0U);
}

TEST_F(BackendTest, BackendPool_IdleConnection_IsNoneForWhatMayNotBeRepeated)
{
    auto pool = BackendPool(m_endpoint, BackendPoolOptions());
    auto connection = take(pool, Repeatable::No, NOW);
    const auto *address = connection.get();
    EXPECT_TRUE(await(exchange(connection, true)));
    pool.release(std::move(connection), NOW);
    const auto other = take(pool, Repeatable::No, NOW + std::chrono::seconds(2));
    EXPECT_NE(other.get(), address);
    EXPECT_EQ(take(pool, Repeatable::Yes, NOW + std::chrono::seconds(2)).get(), address);
}

TEST_F(BackendTest, Probe_TellsAliveSilentAndDead)
{
    const auto alive = await(probe(m_endpoint, ProbeKind::Engine, PROBE_TIME));
    EXPECT_EQ(alive.verdict, ProbeVerdict::Alive);
    EXPECT_EQ(alive.bootId, "b");
    EXPECT_EQ(alive.running, 3U);
    EXPECT_EQ(alive.weightVersion, 7U);
    m_silent = true;
    const auto silent = await(probe(m_endpoint, ProbeKind::Plain, PROBE_TIME));
    EXPECT_EQ(silent.verdict, ProbeVerdict::Silent);
    const auto dead = await(probe("127.0.0.1:1", ProbeKind::Plain, PROBE_TIME));
    EXPECT_EQ(dead.verdict, ProbeVerdict::Dead);
}

TEST(CleanHeaders, CleanHeaders_EveryFormOfKey_IsTakenOut)
{
    const auto cleaned = cleanHeaders({ { "authorization", "Bearer k" },
                                        { "X-API-KEY", "k" },
                                        { "Cookie", "api_key=k" },
                                        { "X-Other", "kept" } });
    ASSERT_EQ(cleaned.size(), 1U);
    EXPECT_EQ(cleaned[0].name, "X-Other");
    EXPECT_EQ(cleanTarget("/a?api_key=k"), "/a");
    EXPECT_EQ(cleanTarget("/a?x=1&API_KEY=k&y=%20"), "/a?x=1&y=%20");
    EXPECT_EQ(cleanTarget("/a?api%5Fkey=k&x=1"), "/a?x=1");
    EXPECT_EQ(cleanTarget("/a?x=1"), "/a?x=1");
}
