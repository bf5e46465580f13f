#include "process/membership/gossipmembership.h"

#include <thread>

#include <boost/asio.hpp>
#include <gtest/gtest.h>

#include "process/clock/clock.h"

using namespace nutmegplank;
using namespace nutmegplank::process::membership;

namespace {

constexpr auto PERIOD = std::chrono::milliseconds(30);
constexpr auto PATIENCE = std::chrono::seconds(10);

//! One member with a thread of its own, so that stopping the thread is the death of the member.
struct Node
{
    boost::asio::io_context context;
    std::unique_ptr<IMembership> membership;
    std::thread thread;

    auto start(int number, int port, std::chrono::milliseconds period = PERIOD) -> void
    {
        auto options = MembershipOptions();
        options.self.id = "m" + std::to_string(number);
        options.self.incarnation = 1;
        options.self.gossipAddress = "127.0.0.1:" + std::to_string(port);
        options.seeds = { "127.0.0.1:" + std::to_string(port - number) };
        options.period = period;
        membership = std::move(makeGossipMembership(context, options)).value();
        thread = std::thread([this] { context.run(); });
    }
    auto stop() -> void
    {
        context.stop();
        if (thread.joinable())
            thread.join();
    }
};

auto freePort() -> int
{
    auto context = boost::asio::io_context();
    using Udp = boost::asio::ip::udp;
    return Udp::socket(context, Udp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
        .local_endpoint()
        .port();
}

auto eventually(const std::function<bool()> &holds) -> bool
{
    const auto deadline = process::clock::now() + PATIENCE;
    while (process::clock::now() < deadline) {
        if (holds())
            return true;
        std::this_thread::sleep_for(PERIOD);
    }
    return holds();
}

} // namespace

TEST(GossipMembership, GossipMembership_View_FindsAllAndNoticesDeathAndLeaving)
{
    constexpr auto COUNT = 5;
    const auto firstPort = freePort();
    auto nodes = std::vector<Node>(COUNT);
    for (auto number = 0; number < COUNT; ++number)
        nodes[number].start(number, firstPort + number);
    const auto live = [&](int number) {
        return nodes[number].membership->view()->liveIds(Role::Gateway).size();
    };
    for (auto number = 0; number < COUNT; ++number)
        ASSERT_TRUE(eventually([&] { return live(number) == COUNT; })) << number;
    EXPECT_TRUE(eventually([&] {
        return nodes[0].membership->hearsMajority(process::clock::now(), std::chrono::seconds(2));
    }));

    nodes[4].stop();
    EXPECT_TRUE(eventually([&] { return live(0) == COUNT - 1 && live(3) == COUNT - 1; }));
    nodes[3].membership->leave();
    EXPECT_TRUE(eventually(
        [&] { return nodes[0].membership->view()->find("m3")->state == MemberState::Leaving; }));
    for (auto &node : nodes)
        node.stop();
}

//! A killed process is noticed by the refusal of its system, in about a round, and not by three
//! periods of silence: until then nobody takes over its work.
TEST(GossipMembership, GossipMembership_ProcessGone_IsNoticedBeforeItsSilenceIs)
{
    constexpr auto SLOW_PERIOD = std::chrono::milliseconds(300);
    const auto firstPort = freePort();
    auto nodes = std::vector<Node>(2);
    for (auto number = 0; number < 2; ++number)
        nodes[number].start(number, firstPort + number, SLOW_PERIOD);
    const auto live = [&] { return nodes[0].membership->view()->liveIds(Role::Gateway).size(); };
    ASSERT_TRUE(eventually([&] { return live() == 2U; }));
    nodes[1].stop();
    nodes[1].membership.reset();
    const auto goneAt = process::clock::now();
    EXPECT_TRUE(eventually([&] { return live() == 1U; }));
    EXPECT_LT(process::clock::now() - goneAt, SLOW_PERIOD * 3);
    nodes[0].stop();
}
