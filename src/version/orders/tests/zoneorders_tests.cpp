#include <deque>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "version/orders/internal/ordermessages.h"
#include "version/orders/zoneorders.h"

using namespace nutmegplank;
using namespace nutmegplank::version;
using namespace nutmegplank::version::orders;
using process::inventory::BackendServer;
using process::inventory::ServerView;
using state::OrderKind;
using state::OrderState;

namespace {

constexpr auto STEP = base::Duration(std::chrono::seconds(1));
constexpr auto LIST_LAG_STEPS = std::size_t(4);
constexpr auto QUIET_STEPS = 120;

//! A platform with a lagging list, a log, and holders that come and go.
class World
{
public:
    //! One round of the holder. \a lateIntents stay unread, \a lostAnswers leave orders unsettled.
    auto round(bool lateIntents, bool lostAnswers) -> void
    {
        m_views.push_back(truth());
        if (m_views.size() > LIST_LAG_STEPS)
            m_views.pop_front();
        auto input = ZoneInput();
        input.zone = "a";
        input.out = m_out;
        input.targets = { { "s", "a", m_dear, m_cheap }, { "s", "b", 1, 0 } };
        input.servers = std::make_shared<ServerView>(m_views.front());
        input.orders = m_orders;
        input.writing = m_writing;
        input.now = m_now;
        const auto decision = m_holder.decide(input);
        if (!lateIntents)
            landIntents();
        for (const auto &order : decision.intents) {
            auto made = OrderState { std::to_string(++m_sequence),
                                     order.kind,
                                     order.service,
                                     "a",
                                     order.cheap,
                                     order.server };
            m_writing.push_back(made);
        }
        for (const auto &order : decision.send)
            send(order, lostAnswers);
        m_now += STEP;
    }

    //! Another process takes over; intents under way may or may not count.
    auto changeHolder(bool intentsCount) -> void
    {
        if (intentsCount)
            landIntents();
        m_writing.clear();
        m_holder = ZoneOrders(times());
    }

    auto reclaimCheap() -> void
    {
        std::erase_if(m_servers, [](const auto &entry) { return entry.second.cheap; });
    }

    auto setTarget(std::uint32_t dear, std::uint32_t cheap) -> void
    {
        m_dear = dear;
        m_cheap = cheap;
        m_mostDear = std::max(m_mostDear, dear);
        m_mostCheap = std::max(m_mostCheap, cheap);
    }
    auto setOut(bool out) -> void { m_out = out; }

    auto count(bool cheap) const -> std::uint32_t
    {
        return static_cast<std::uint32_t>(
            std::count_if(m_servers.begin(), m_servers.end(),
                          [cheap](const auto &entry) { return entry.second.cheap == cheap; }));
    }
    auto wanted(bool cheap) const -> std::uint32_t
    {
        if (m_out)
            return 0;
        return cheap ? m_cheap : m_dear;
    }
    auto neverTooMany() const -> bool
    {
        return count(false) <= m_mostDear && count(true) <= m_mostCheap;
    }

private:
    static auto times() -> OrderTimes
    {
        auto times = OrderTimes();
        times.drain = 3 * STEP;
        times.listLag = 20 * STEP;
        return times;
    }

    auto truth() const -> ServerView
    {
        auto view = ServerView();
        for (const auto &[id, server] : m_servers)
            view.servers.push_back(server);
        return view;
    }

    auto landIntents() -> void
    {
        for (const auto &order : m_writing)
            m_orders.emplace(order.orderId, order);
        m_writing.clear();
    }

    //! The platform is idempotent by order id.
    auto send(const OrderState &order, bool lostAnswer) -> void
    {
        auto &server = m_answers[order.orderId];
        if (server.empty() && order.kind == OrderKind::Create) {
            server = "vm" + order.orderId;
            m_servers[server] = {
                server, order.service, "a", "", order.cheap, false, order.orderId
            };
        }
        if (order.kind == OrderKind::Release) {
            server = order.server;
            m_servers.erase(server);
        }
        if (lostAnswer)
            return;
        auto &known = m_orders.at(order.orderId);
        known.settled = true;
        known.server = server;
    }

    ZoneOrders m_holder { times() };
    std::map<std::string, BackendServer> m_servers;
    std::map<std::string, std::string> m_answers; //!< Server by order id.
    std::map<std::string, OrderState> m_orders;   //!< The log.
    std::vector<OrderState> m_writing;
    std::deque<ServerView> m_views;
    base::TimePoint m_now {};
    std::uint32_t m_dear = 0;
    std::uint32_t m_cheap = 0;
    std::uint32_t m_mostDear = 0;
    std::uint32_t m_mostCheap = 0;
    std::uint64_t m_sequence = 0;
    bool m_out = false;
};

} // namespace

RC_GTEST_PROP(Orders_Zone, NeverTooManyAndRightInTheEnd, ())
{
    auto world = World();
    world.setTarget(2, 1);
    const auto steps = *rc::gen::inRange(0, 80);
    for (auto step = 0; step < steps; ++step) {
        switch (*rc::gen::inRange(0, 12)) {
        case 0:
            world.setTarget(*rc::gen::inRange(0U, 5U), *rc::gen::inRange(0U, 4U));
            break;
        case 1:
            world.changeHolder(*rc::gen::arbitrary<bool>());
            break;
        case 2:
            world.reclaimCheap();
            break;
        case 3:
            world.setOut(*rc::gen::arbitrary<bool>());
            break;
        default:
            break;
        }
        world.round(*rc::gen::inRange(0, 4) == 0, *rc::gen::inRange(0, 4) == 0);
        RC_ASSERT(world.neverTooMany());
    }
    for (auto step = 0; step < QUIET_STEPS; ++step)
        world.round(false, false);
    RC_ASSERT(world.count(false) == world.wanted(false));
    RC_ASSERT(world.count(true) == world.wanted(true));
}

TEST(Orders_Zone, RefusedCheapIsReplacedForAWhile)
{
    auto zone = ZoneOrders({});
    auto input = ZoneInput();
    input.zone = "a";
    input.targets = { { "s", "a", 1, 2 } };
    input.servers = std::make_shared<ServerView>();
    const auto cheapOnes = [&] {
        const auto intents = zone.decide(input).intents;
        EXPECT_EQ(intents.size(), 3U);
        return std::count_if(intents.begin(), intents.end(),
                             [](const NewOrder &order) { return order.cheap; });
    };
    EXPECT_EQ(cheapOnes(), 2);
    zone.refused("s", true, input.now);
    EXPECT_EQ(cheapOnes(), 0);
    input.now += std::chrono::minutes(2);
    EXPECT_EQ(cheapOnes(), 2);
}

TEST(Orders_Zone, ReleaseWaitsForRunningWork)
{
    auto zone = ZoneOrders({});
    auto input = ZoneInput();
    input.zone = "a";
    input.out = true;
    auto view = std::make_shared<ServerView>();
    view->servers.push_back({ "vm", "s", "a" });
    input.servers = view;
    input.loads["vm"].running = 1;
    for (auto second = 0; second < 10; ++second) {
        input.loads["vm"].heard = input.now;
        const auto decision = zone.decide(input);
        EXPECT_EQ(decision.hold, std::vector<std::string> { "vm" });
        EXPECT_TRUE(decision.intents.empty());
        input.now += STEP;
    }
    input.loads["vm"].running = 0;
    input.loads["vm"].heard = input.now;
    const auto intents = zone.decide(input).intents;
    ASSERT_EQ(intents.size(), 1U);
    EXPECT_EQ(intents[0].server, "vm");
}

TEST(Orders_Answers, OnlyClearOnesSettle)
{
    EXPECT_EQ(readAnswer({ 200, {}, R"({"server": "x", "state": "done"})" }).answer,
              OrderAnswer::Done);
    EXPECT_EQ(readAnswer({ 200, {}, R"({"state": "refused"})" }).answer, OrderAnswer::Refused);
    EXPECT_EQ(readAnswer({ 200, {}, "half" }).answer, OrderAnswer::Unclear);
    EXPECT_EQ(readAnswer({ 409, {}, R"({"newest": 9})" }).answer, OrderAnswer::Unclear);
    EXPECT_EQ(readAnswer({ 503, {}, "{}" }).answer, OrderAnswer::Unclear);
}
