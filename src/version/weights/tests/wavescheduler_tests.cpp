#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "version/weights/wavescheduler.h"

using namespace nutmegplank;
using namespace nutmegplank::version;
using namespace nutmegplank::version::weights;

namespace {

constexpr auto STEP = base::Duration(std::chrono::milliseconds(100));
constexpr auto LOAD_TIME = base::Duration(std::chrono::milliseconds(1000));
constexpr auto SLOTS = 3U;

//! Engines whose loads take time, fail at times, and forget all when they start anew.
class World
{
public:
    explicit World(int engines)
    {
        for (auto index = 0; index < engines; ++index) {
            auto engine = Engine();
            engine.id = "engine-" + std::to_string(index);
            engine.known = true;
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
        simulated.seen.clear();
    }
    auto setOut(int index, bool out) -> void { at(index).out = out; }

    auto step(bool lostAnswers, bool failingLoads) -> void
    {
        for (auto &[id, simulated] : m_engines)
            finishLoad(simulated);
        auto input = WaveInput();
        input.service = "quote-gen";
        if (m_version > 0)
            input.newest = state::WeightsState { "quote-gen", m_version, "object", 1 };
        for (const auto &[id, simulated] : m_engines) {
            if (!simulated.out)
                input.engines.push_back(simulated.engine);
        }
        input.slots = SLOTS;
        input.now = m_now;
        for (const auto &order : m_scheduler.decide(input).send)
            take(order, lostAnswers, failingLoads);
        m_now += STEP;
    }

    auto loading() const -> std::size_t
    {
        return static_cast<std::size_t>(
            std::count_if(m_engines.begin(), m_engines.end(),
                          [](const auto &entry) { return entry.second.loading.has_value(); }));
    }
    auto allNewest() const -> bool
    {
        return std::all_of(m_engines.begin(), m_engines.end(), [this](const auto &entry) {
            return entry.second.out || entry.second.engine.weightVersion == m_version;
        });
    }
    auto toOutOnes() const -> int { return m_toOutOnes; }
    auto now() const -> base::TimePoint { return m_now; }

private:
    struct Loading
    {
        std::uint64_t version = 0;
        base::TimePoint ends {};
        bool fails = false;
    };
    struct Simulated
    {
        Engine engine;
        std::optional<Loading> loading;
        std::set<std::string> seen; //!< Orders are idempotent by id.
        bool out = false;
    };

    auto at(int index) -> Simulated & { return m_engines.at("engine-" + std::to_string(index)); }

    auto finishLoad(Simulated &simulated) -> void
    {
        if (!simulated.loading || m_now < simulated.loading->ends)
            return;
        if (!simulated.loading->fails)
            simulated.engine.weightVersion = simulated.loading->version;
        simulated.loading.reset();
    }

    auto take(const EngineOrder &order, bool lostAnswer, bool fails) -> void
    {
        auto &simulated = m_engines.at(order.server);
        m_toOutOnes += simulated.out ? 1 : 0;
        if (simulated.seen.insert(order.orderId).second)
            simulated.loading = Loading { order.version, m_now + LOAD_TIME, fails };
        if (!lostAnswer)
            m_scheduler.taken(order.server, order.orderId);
    }

    std::map<std::string, Simulated> m_engines;
    WaveScheduler m_scheduler { WaveTimes() };
    std::uint64_t m_version = 0;
    base::TimePoint m_now {};
    int m_toOutOnes = 0;
};

} // namespace

RC_GTEST_PROP(Weights_Waves, StayWithinTheRateAndReachAll, ())
{
    const auto engines = *rc::gen::inRange(1, 9);
    auto world = World(engines);
    auto outBefore = std::set<int>();
    const auto steps = *rc::gen::inRange(0, 150);
    for (auto step = 0; step < steps; ++step) {
        const auto which = *rc::gen::inRange(0, engines);
        switch (*rc::gen::inRange(0, 20)) {
        case 0:
            world.publish();
            break;
        case 1:
            world.restart(which);
            break;
        default:
            break;
        }
        world.step(*rc::gen::inRange(0, 4) == 0, *rc::gen::inRange(0, 5) == 0);
        RC_ASSERT(world.loading() <= SLOTS);
    }
    world.publish();
    for (auto step = 0; step < 600 && !world.allNewest(); ++step)
        world.step(false, false);
    RC_ASSERT(world.allNewest());
    world.setOut(0, true);
    world.publish();
    for (auto step = 0; step < 600; ++step)
        world.step(false, false);
    RC_ASSERT(world.toOutOnes() == 0);
    RC_ASSERT(world.allNewest());
}

TEST(Weights_Waves, TenEnginesWithinTwelveSeconds)
{
    auto world = World(10);
    world.publish();
    while (!world.allNewest() && world.now() < base::TimePoint(std::chrono::minutes(1)))
        world.step(false, false);
    EXPECT_LT(world.now(), base::TimePoint(std::chrono::seconds(12)));
}

TEST(Weights_Waves, ModelWaitsForRunningWorkAndComesBeforeWeights)
{
    auto scheduler = WaveScheduler({});
    auto input = WaveInput();
    input.service = "telar";
    input.model = "large";
    input.newest = state::WeightsState { "telar", 3, "object", 1 };
    auto engine = Engine { "e", "", false, true, "1", "small", 0, 2 };
    input.engines = { engine };
    auto decision = scheduler.decide(input);
    EXPECT_TRUE(decision.send.empty());
    EXPECT_EQ(decision.hold, std::vector<std::string> { "e" });
    input.engines[0].running = 0;
    decision = scheduler.decide(input);
    ASSERT_EQ(decision.send.size(), 1U);
    EXPECT_EQ(decision.send[0].kind, EngineOrderKind::LoadModel);
    scheduler.taken("e", decision.send[0].orderId);
    input.engines[0].model = "large";
    decision = scheduler.decide(input);
    ASSERT_EQ(decision.send.size(), 1U);
    EXPECT_EQ(decision.send[0].kind, EngineOrderKind::LoadWeights);
}

TEST(Weights_Waves, AdaptersOncePerBoot)
{
    auto scheduler = WaveScheduler({});
    auto input = WaveInput();
    input.service = "telar";
    input.adapters = { "satin", "linen" };
    input.engines = { Engine { "e", "", false, true, "1", "", 0, 0 } };
    auto loaded = std::vector<std::string>();
    for (auto round = 0; round < 8; ++round) {
        for (const auto &order : scheduler.decide(input).send) {
            loaded.push_back(order.adapter);
            scheduler.taken("e", order.orderId);
        }
        if (round == 4)
            input.engines[0].bootId = "2";
        input.now += STEP;
    }
    EXPECT_EQ(loaded, (std::vector<std::string> { "satin", "linen", "satin", "linen" }));
}
