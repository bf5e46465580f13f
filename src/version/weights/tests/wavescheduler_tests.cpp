#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "version/weights/wavescheduler.h"

using namespace nutmegplank;
using namespace nutmegplank::version;
using namespace nutmegplank::version::weights;

namespace {

constexpr auto STEP = base::Duration(std::chrono::milliseconds(100));
constexpr auto LOAD_TIME = base::Duration(std::chrono::milliseconds(1000));
constexpr auto MAX_LOADS = 3U;

//! Simulated engines: loads take time and may fail, and a restart drops what is loaded.
class EngineSimulation
{
public:
    explicit EngineSimulation(int engines)
    {
        for (auto index = 0; index < engines; ++index) {
            auto engine = Engine();
            engine.id = "engine-" + std::to_string(index);
            engine.hasStatus = true;
            engine.bootId = "1";
            engine.running = static_cast<std::uint32_t>(index % 3);
            m_engines[engine.id] = { engine };
        }
    }

    auto publish() -> void { ++m_version; }
    auto restart(int index) -> void
    {
        auto &simulated = at(index);
        simulated.engine.bootId += "1";
        simulated.engine.weightVersion = 0;
        simulated.loading.reset();
        simulated.seenOrderIds.clear();
    }
    auto setExcluded(int index, bool excluded) -> void { at(index).excluded = excluded; }

    auto step(bool loseResponses, bool failLoads) -> void
    {
        for (auto &[id, simulated] : m_engines)
            finishLoad(simulated);
        auto input = WaveInput();
        input.service = "quote-gen";
        if (m_version > 0)
            input.newestWeights = state::WeightsState { "quote-gen", m_version, "object", 1 };
        for (const auto &[id, simulated] : m_engines) {
            if (!simulated.excluded)
                input.engines.push_back(simulated.engine);
        }
        input.maxConcurrentLoads = MAX_LOADS;
        input.now = m_now;
        for (const auto &order : m_scheduler.decide(input).ordersToSend)
            receiveOrder(order, loseResponses, failLoads);
        m_now += STEP;
    }

    auto loading() const -> std::size_t
    {
        return static_cast<std::size_t>(
            std::count_if(m_engines.begin(), m_engines.end(),
                          [](const auto &entry) { return entry.second.loading.has_value(); }));
    }
    auto allUpToDate() const -> bool
    {
        return std::all_of(m_engines.begin(), m_engines.end(), [this](const auto &entry) {
            return entry.second.excluded || entry.second.engine.weightVersion == m_version;
        });
    }
    auto ordersToExcluded() const -> int { return m_ordersToExcluded; }
    auto now() const -> base::TimePoint { return m_now; }

private:
    struct Loading
    {
        std::uint64_t version = 0;
        base::TimePoint endsAt {};
        bool fails = false;
    };
    struct Simulated
    {
        Engine engine;
        std::optional<Loading> loading;
        std::set<std::string> seenOrderIds; //!< An order with a known id is ignored.
        bool excluded = false;
    };

    auto at(int index) -> Simulated & { return m_engines.at("engine-" + std::to_string(index)); }

    auto finishLoad(Simulated &simulated) -> void
    {
        if (!simulated.loading || m_now < simulated.loading->endsAt)
            return;
        if (!simulated.loading->fails)
            simulated.engine.weightVersion = simulated.loading->version;
        simulated.loading.reset();
    }

    auto receiveOrder(const EngineOrder &order, bool loseResponse, bool fails) -> void
    {
        auto &simulated = m_engines.at(order.server);
        m_ordersToExcluded += simulated.excluded ? 1 : 0;
        if (simulated.seenOrderIds.insert(order.orderId).second)
            simulated.loading = Loading { order.version, m_now + LOAD_TIME, fails };
        if (!loseResponse)
            m_scheduler.markAccepted(order.server, order.orderId);
    }

    std::map<std::string, Simulated> m_engines;
    WaveScheduler m_scheduler { WaveTiming() };
    std::uint64_t m_version = 0;
    base::TimePoint m_now {};
    int m_ordersToExcluded = 0;
};

} // namespace

// Guards against more concurrent loads than the weight store allows, engines that stay on an old
// version after failed loads, lost responses or restarts, and orders to engines in a zone that is
// out of service.
RC_GTEST_PROP(Weights_Waves, StayWithinTheLimitAndReachAllEngines, ())
{
    const auto engines = *rc::gen::inRange(1, 9);
    auto simulation = EngineSimulation(engines);
    auto outBefore = std::set<int>();
    const auto steps = *rc::gen::inRange(0, 150);
    for (auto step = 0; step < steps; ++step) {
        const auto engineIndex = *rc::gen::inRange(0, engines);
        switch (*rc::gen::inRange(0, 20)) {
        case 0:
            simulation.publish();
            break;
        case 1:
            simulation.restart(engineIndex);
            break;
        default:
            break;
        }
        simulation.step(*rc::gen::inRange(0, 4) == 0, *rc::gen::inRange(0, 5) == 0);
        RC_ASSERT(simulation.loading() <= MAX_LOADS);
    }
    simulation.publish();
    for (auto step = 0; step < 600 && !simulation.allUpToDate(); ++step)
        simulation.step(false, false);
    RC_ASSERT(simulation.allUpToDate());
    simulation.setExcluded(0, true);
    simulation.publish();
    for (auto step = 0; step < 600; ++step)
        simulation.step(false, false);
    RC_ASSERT(simulation.ordersToExcluded() == 0);
    RC_ASSERT(simulation.allUpToDate());
}

TEST(Weights_Waves, UpdateTenEnginesWithinTwelveSeconds)
{
    auto simulation = EngineSimulation(10);
    simulation.publish();
    while (!simulation.allUpToDate() && simulation.now() < base::TimePoint(std::chrono::minutes(1)))
        simulation.step(false, false);
    EXPECT_LT(simulation.now(), base::TimePoint(std::chrono::seconds(12)));
}

// Guards against replacing a model while the engine still runs requests, and against loading
// weights before the model that they belong to.
TEST(Weights_Waves, LoadModelAfterDrainAndBeforeWeights)
{
    auto scheduler = WaveScheduler({});
    auto input = WaveInput();
    input.service = "telar";
    input.model = "large";
    input.newestWeights = state::WeightsState { "telar", 3, "object", 1 };
    auto engine = Engine { "e", "", false, true, "1", "small", 0, 2 };
    input.engines = { engine };
    auto decision = scheduler.decide(input);
    EXPECT_TRUE(decision.ordersToSend.empty());
    EXPECT_EQ(decision.serversToHold, std::vector<std::string> { "e" });
    input.engines[0].running = 0;
    decision = scheduler.decide(input);
    ASSERT_EQ(decision.ordersToSend.size(), 1U);
    EXPECT_EQ(decision.ordersToSend[0].kind, EngineOrderKind::LoadModel);
    scheduler.markAccepted("e", decision.ordersToSend[0].orderId);
    input.engines[0].model = "large";
    decision = scheduler.decide(input);
    ASSERT_EQ(decision.ordersToSend.size(), 1U);
    EXPECT_EQ(decision.ordersToSend[0].kind, EngineOrderKind::LoadWeights);
}

// Guards against repeated loads of an adapter, and against missing adapters after a restart, in
// which the engine loses them.
TEST(Weights_Waves, LoadEachAdapterOncePerBoot)
{
    auto scheduler = WaveScheduler({});
    auto input = WaveInput();
    input.service = "telar";
    input.adapters = { "satin", "linen" };
    input.engines = { Engine { "e", "", false, true, "1", "", 0, 0 } };
    auto loaded = std::vector<std::string>();
    for (auto round = 0; round < 8; ++round) {
        for (const auto &order : scheduler.decide(input).ordersToSend) {
            loaded.push_back(order.adapter);
            scheduler.markAccepted("e", order.orderId);
        }
        if (round == 4)
            input.engines[0].bootId = "2";
        input.now += STEP;
    }
    EXPECT_EQ(loaded, (std::vector<std::string> { "satin", "linen", "satin", "linen" }));
}
