#include <thread>

#include <boost/asio.hpp>
#include <gtest/gtest.h>

#include "connection/http/httpserver.h"
#include "process/clock/clock.h"
#include "version/command/claimturn.h"
#include "version/command/fencedcaller.h"

using namespace nutmegplank;
using namespace nutmegplank::version::command;
namespace asio = boost::asio;
namespace http = connection::http;

namespace {

constexpr auto TERM = base::Duration(std::chrono::milliseconds(200));

//! Reports the lease as held for the first m_heldQueries queries.
class FakeLease : public version::lease::ILease
{
public:
    auto fencingNumber(base::TimePoint) const -> std::optional<std::uint64_t> override
    {
        return m_queries++ < m_heldQueries ? std::optional<std::uint64_t>(7) : std::nullopt;
    }
    auto scope() const -> const std::string & override { return m_scope; }
    auto release() -> void override { }

    mutable int m_queries = 0;
    int m_heldQueries = std::numeric_limits<int>::max();

private:
    std::string m_scope = "usage";
};

class FencedCallerTest : public testing::Test
{
protected:
    auto SetUp() -> void override
    {
        m_server = std::make_unique<http::HttpServer>(
            m_context, http::ServerLimits(),
            [this](http::Request request,
                   http::IHttpResponder &responder) -> asio::awaitable<void> {
                ++m_received;
                co_await responder.respond(http::jsonResponse(200, request.body));
            });
        m_endpoint = "127.0.0.1:" + std::to_string(*m_server->listen("127.0.0.1", 0));
        m_worker = std::thread([this] { m_context.run(); });
    }
    auto TearDown() -> void override
    {
        m_context.stop();
        m_worker.join();
    }
    auto call(FencedCaller &caller, bool checksFencing) -> absl::StatusOr<http::Response>
    {
        auto build = FencedRequest([](std::uint64_t number) {
            auto request = http::Request();
            request.method = "PUT";
            request.body = std::to_string(number);
            return request;
        });
        return asio::co_spawn(m_context, caller.call({ m_endpoint, checksFencing }, build),
                              asio::use_future)
            .get();
    }

    asio::io_context m_context;
    std::unique_ptr<http::HttpServer> m_server;
    std::string m_endpoint;
    std::thread m_worker;
    std::atomic<int> m_received = 0;
    FakeLease m_lease;
};

} // namespace

TEST_F(FencedCallerTest, Command_FencedCaller_WaitsAfterTakeover)
{
    auto caller = FencedCaller(m_lease, deriveFencedTimes(TERM));
    EXPECT_EQ(call(caller, true).status().code(), absl::StatusCode::kFailedPrecondition);
    std::this_thread::sleep_for(deriveFencedTimes(TERM).waitChecked);
    EXPECT_FALSE(call(caller, false).ok());
    const auto answer = call(caller, true);
    ASSERT_TRUE(answer.ok());
    EXPECT_EQ(answer->body, "7");
    std::this_thread::sleep_for(deriveFencedTimes(TERM).waitUnchecked);
    EXPECT_TRUE(call(caller, false).ok());
    EXPECT_EQ(m_received, 2);
}

TEST_F(FencedCallerTest, Command_FencedCaller_WritesNothingAfterLeaseLoss)
{
    auto caller = FencedCaller(m_lease, deriveFencedTimes(TERM));
    caller.observe(process::clock::now());
    std::this_thread::sleep_for(deriveFencedTimes(TERM).waitUnchecked);
    // The lease is lost at the first query, after connecting, and directly before the write.
    for (auto heldQueries = 0; heldQueries < 3; ++heldQueries) {
        m_lease.m_heldQueries = std::numeric_limits<int>::max();
        caller.observe(process::clock::now());
        std::this_thread::sleep_for(deriveFencedTimes(TERM).waitUnchecked);
        m_lease.m_queries = 0;
        m_lease.m_heldQueries = heldQueries;
        EXPECT_EQ(call(caller, false).status().code(), absl::StatusCode::kFailedPrecondition);
    }
    std::this_thread::sleep_for(TERM); // Gives bytes that were wrongly written time to arrive.
    EXPECT_EQ(m_received, 0);
}

TEST(ClaimTurnTest, Command_ClaimTurn_FirstRankClaimsAtOnceOthersInTurn)
{
    const auto times = version::lease::LeaseTimes { TERM, TERM / 3, TERM + TERM / 4 };
    auto lease = version::state::LeaseState();
    lease.scope = "plan";
    lease.holder = "c#1";
    lease.lastRenewalOffset = 5;
    auto now = base::TimePoint(std::chrono::hours(1));
    auto first = ClaimTurn(times);
    auto second = ClaimTurn(times);
    auto third = ClaimTurn(times);
    const auto rank = [](std::size_t number) { return [number] { return number; }; };
    EXPECT_TRUE(ClaimTurn(times).mayClaim(rank(0), nullptr, now));
    EXPECT_FALSE(first.mayClaim(rank(0), &lease, now)); // Held, and the term has not expired.
    EXPECT_FALSE(second.mayClaim(rank(1), &lease, now));
    EXPECT_FALSE(third.mayClaim(rank(2), &lease, now));
    now += TERM;
    EXPECT_TRUE(first.mayClaim(rank(0), &lease, now));
    EXPECT_FALSE(second.mayClaim(rank(1), &lease, now));
    now += times.claimAfter - TERM / 2;
    EXPECT_TRUE(second.mayClaim(rank(1), &lease, now));
    EXPECT_FALSE(third.mayClaim(rank(2), &lease, now));
    lease.lastRenewalOffset = 6; // Renewed: the waiting times restart.
    EXPECT_FALSE(second.mayClaim(rank(1), &lease, now));
    lease.holder.clear(); // Released.
    EXPECT_FALSE(second.mayClaim(rank(1), &lease, now));
    EXPECT_TRUE(second.mayClaim(rank(1), &lease, now + TERM / 2));
}
