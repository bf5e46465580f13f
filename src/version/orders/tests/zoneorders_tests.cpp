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
constexpr auto CONVERGENCE_STEPS = 120;

//! Simulates a platform whose server list lags behind, the log, and a changing lease holder.
class SimulatedPlatform
{
public:
    //! Runs one decision of the lease holder. With \a lateIntents the new intents are not read
    //! back, with \a lostAnswers the orders stay unsettled.
    auto runRound(bool lateIntents, bool lostAnswers) -> void
    {
        m_laggingViews.push_back(actualServers());
        if (m_laggingViews.size() > LIST_LAG_STEPS)
            m_laggingViews.pop_front();
        auto input = ZoneInput();
        input.zone = "a";
        input.outOfService = m_outOfService;
        input.targets = { { "s", "a", m_regular, m_cheap }, { "s", "b", 1, 0 } };
        input.servers = std::make_shared<ServerView>(m_laggingViews.front());
        input.orders = m_orders;
        input.pendingIntents = m_pendingIntents;
        input.now = m_now;
        const auto decision = m_zoneOrders.decide(input);
        if (!lateIntents)
            commitIntents();
        for (const auto &order : decision.intents) {
            auto newOrder = OrderState { std::to_string(++m_sequence),
                                         order.kind,
                                         order.service,
                                         "a",
                                         order.cheap,
                                         order.server };
            m_pendingIntents.push_back(newOrder);
        }
        for (const auto &order : decision.ordersToSend)
            send(order, lostAnswers);
        m_now += STEP;
    }

    //! Another process takes over. \a intentsCount: whether the pending intents reached the log.
    auto changeLeaseHolder(bool intentsCount) -> void
    {
        if (intentsCount)
            commitIntents();
        m_pendingIntents.clear();
        m_zoneOrders = ZoneOrders(times());
    }

    auto reclaimCheapServers() -> void
    {
        std::erase_if(m_servers, [](const auto &entry) { return entry.second.cheap; });
    }

    auto setTarget(std::uint32_t regular, std::uint32_t cheap) -> void
    {
        m_regular = regular;
        m_cheap = cheap;
        m_maxRegular = std::max(m_maxRegular, regular);
        m_maxCheap = std::max(m_maxCheap, cheap);
    }
    auto setOutOfService(bool outOfService) -> void { m_outOfService = outOfService; }

    auto serverCount(bool cheap) const -> std::uint32_t
    {
        return static_cast<std::uint32_t>(
            std::count_if(m_servers.begin(), m_servers.end(),
                          [cheap](const auto &entry) { return entry.second.cheap == cheap; }));
    }
    auto target(bool cheap) const -> std::uint32_t
    {
        if (m_outOfService)
            return 0;
        return cheap ? m_cheap : m_regular;
    }
    auto isWithinHighestTarget() const -> bool
    {
        return serverCount(false) <= m_maxRegular && serverCount(true) <= m_maxCheap;
    }

private:
    static auto times() -> OrderTimes
    {
        auto times = OrderTimes();
        times.drainTimeout = 3 * STEP;
        times.listLag = 20 * STEP;
        return times;
    }

    auto actualServers() const -> ServerView
    {
        auto view = ServerView();
        for (const auto &[id, server] : m_servers)
            view.servers.push_back(server);
        return view;
    }

    auto commitIntents() -> void
    {
        for (const auto &order : m_pendingIntents)
            m_orders.emplace(order.orderId, order);
        m_pendingIntents.clear();
    }

    //! Like the platform, executes each order id at most once.
    auto send(const OrderState &order, bool lostAnswer) -> void
    {
        auto &server = m_serverByOrderId[order.orderId];
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
        auto &logged = m_orders.at(order.orderId);
        logged.settled = true;
        logged.server = server;
    }

    ZoneOrders m_zoneOrders { times() };
    std::map<std::string, BackendServer> m_servers;
    std::map<std::string, std::string> m_serverByOrderId; //!< Server by order id.
    std::map<std::string, OrderState> m_orders;           //!< The log.
    std::vector<OrderState> m_pendingIntents;
    std::deque<ServerView> m_laggingViews;
    base::TimePoint m_now {};
    std::uint32_t m_regular = 0;
    std::uint32_t m_cheap = 0;
    std::uint32_t m_maxRegular = 0;
    std::uint32_t m_maxCheap = 0;
    std::uint64_t m_sequence = 0;
    bool m_outOfService = false;
};

} // namespace

// Late log records, lost answers and takeovers must never lead to more servers than the highest
// target, and once they stop the servers must match the target.
RC_GTEST_PROP(Orders_Zone, NeverExceedsHighestTargetAndConverges, ())
{
    auto platform = SimulatedPlatform();
    platform.setTarget(2, 1);
    const auto steps = *rc::gen::inRange(0, 80);
    for (auto step = 0; step < steps; ++step) {
        switch (*rc::gen::inRange(0, 12)) {
        case 0:
            platform.setTarget(*rc::gen::inRange(0U, 5U), *rc::gen::inRange(0U, 4U));
            break;
        case 1:
            platform.changeLeaseHolder(*rc::gen::arbitrary<bool>());
            break;
        case 2:
            platform.reclaimCheapServers();
            break;
        case 3:
            platform.setOutOfService(*rc::gen::arbitrary<bool>());
            break;
        default:
            break;
        }
        platform.runRound(*rc::gen::inRange(0, 4) == 0, *rc::gen::inRange(0, 4) == 0);
        RC_ASSERT(platform.isWithinHighestTarget());
    }
    for (auto step = 0; step < CONVERGENCE_STEPS; ++step)
        platform.runRound(false, false);
    RC_ASSERT(platform.serverCount(false) == platform.target(false));
    RC_ASSERT(platform.serverCount(true) == platform.target(true));
}

TEST(Orders_Zone, ReplacesDisappearedServerRightAfterTakeover)
{
    auto zone = ZoneOrders({});
    auto input = ZoneInput();
    input.zone = "a";
    input.targets = { { "s", "a", 1, 0 } };
    input.orders["1"] = { "1", OrderKind::Create, "s", "a", false, "vm", true };
    auto listed = std::make_shared<ServerView>();
    listed->servers.push_back({ "vm", "s", "a" });
    input.servers = listed;
    zone.trackOrders(input);
    zone.resetForTakeover();
    input.servers = std::make_shared<ServerView>();
    EXPECT_EQ(zone.decide(input).intents.size(), 1U);
    // A process that has never seen the server listed still counts it as capacity.
    EXPECT_TRUE(ZoneOrders({}).decide(input).intents.empty());
}

TEST(Orders_Zone, RefusedCheapServersAreReplacedDuringBackoff)
{
    auto zone = ZoneOrders({});
    auto input = ZoneInput();
    input.zone = "a";
    input.targets = { { "s", "a", 1, 2 } };
    input.servers = std::make_shared<ServerView>();
    const auto countCheapIntents = [&] {
        const auto intents = zone.decide(input).intents;
        EXPECT_EQ(intents.size(), 3U);
        return std::count_if(intents.begin(), intents.end(),
                             [](const NewOrder &order) { return order.cheap; });
    };
    EXPECT_EQ(countCheapIntents(), 2);
    zone.onCreateRefused("s", true, input.now);
    EXPECT_EQ(countCheapIntents(), 0);
    input.now += std::chrono::minutes(2);
    EXPECT_EQ(countCheapIntents(), 2);
}

TEST(Orders_Zone, ReleaseWaitsForRunningWork)
{
    auto zone = ZoneOrders({});
    auto input = ZoneInput();
    input.zone = "a";
    input.outOfService = true;
    auto view = std::make_shared<ServerView>();
    view->servers.push_back({ "vm", "s", "a" });
    input.servers = view;
    input.loads["vm"].running = 1;
    for (auto second = 0; second < 10; ++second) {
        input.loads["vm"].heard = input.now;
        const auto decision = zone.decide(input);
        EXPECT_EQ(decision.serversToHold, std::vector<std::string> { "vm" });
        EXPECT_TRUE(decision.intents.empty());
        input.now += STEP;
    }
    input.loads["vm"].running = 0;
    input.loads["vm"].heard = input.now;
    const auto intents = zone.decide(input).intents;
    ASSERT_EQ(intents.size(), 1U);
    EXPECT_EQ(intents[0].server, "vm");
}

TEST(Orders_Answers, OnlyClearResponsesSettle)
{
    EXPECT_EQ(parseAnswer({ 200, {}, R"({"server": "x", "state": "done"})" }).answer,
              OrderAnswer::Done);
    EXPECT_EQ(parseAnswer({ 200, {}, R"({"state": "refused"})" }).answer, OrderAnswer::Refused);
    EXPECT_EQ(parseAnswer({ 200, {}, "half" }).answer, OrderAnswer::Unclear);
    EXPECT_EQ(parseAnswer({ 409, {}, R"({"newest": 9})" }).answer, OrderAnswer::Unclear);
    EXPECT_EQ(parseAnswer({ 503, {}, "{}" }).answer, OrderAnswer::Unclear);
}
