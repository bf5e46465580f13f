#include "connection/link/nnglink.h"

#include <condition_variable>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

using namespace nutmegplank;
using namespace nutmegplank::connection::link;

namespace {

constexpr auto PATIENCE = std::chrono::seconds(10);

//! Two links in one process whose handlers run on a thread of their own.
class NngLinkTest : public testing::Test
{
protected:
    auto SetUp() -> void override
    {
        m_worker = std::thread([this] { m_context.run(); });
    }
    auto TearDown() -> void override
    {
        m_guard.reset();
        m_context.stop();
        m_worker.join();
    }
    auto open(const std::string &id) -> std::unique_ptr<ILink>
    {
        return std::move(makeNngLink(m_context.get_executor(), { id, 7, "127.0.0.1", 0, "" }))
            .value();
    }
    auto waitFor(std::function<bool()> done) -> bool
    {
        auto lock = std::unique_lock(m_mutex);
        return m_changed.wait_for(lock, PATIENCE, std::move(done));
    }
    auto change(const std::function<void()> &act) -> void
    {
        const auto lock = std::lock_guard(m_mutex);
        act();
        m_changed.notify_all();
    }

    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_guard {
        m_context.get_executor()
    };
    std::thread m_worker;
    std::mutex m_mutex;
    std::condition_variable m_changed;
};

auto cancelFor(int number) -> wire::Envelope
{
    auto message = wire::Envelope();
    message.mutable_cancel()->set_attempt_id(std::to_string(number));
    return message;
}

} // namespace

TEST_F(NngLinkTest, NngLink_Send_KeepsOrderAndNamesSender)
{
    constexpr auto COUNT = 500;
    const auto left = open("left");
    const auto right = open("right");
    auto received = std::vector<std::string>();
    right->setHandler([&](wire::Envelope message) {
        change([&] { received.push_back(message.from() + message.cancel().attempt_id()); });
    });
    for (auto number = 0; number < COUNT; ++number)
        ASSERT_TRUE(left->send(right->localAddress(), cancelFor(number)).ok());
    ASSERT_TRUE(waitFor([&] { return received.size() == COUNT; }));
    for (auto number = 0; number < COUNT; ++number)
        EXPECT_EQ(received[number], "left" + std::to_string(number));
}

TEST_F(NngLinkTest, NngLink_Send_ReportsMessagesThatNeverLeft)
{
    const auto link = open("left");
    auto dropped = 0;
    link->setDropHandler([&](const std::string &, wire::Envelope) { change([&] { ++dropped; }); });
    ASSERT_TRUE(link->send("127.0.0.1:1", cancelFor(1)).ok());
    EXPECT_TRUE(waitFor([&] { return dropped == 1; }));
}
