#include <random>
#include <vector>

#include <gtest/gtest.h>

#include "request/shutdown/shutdowngate.h"

using namespace nutmegplank;
using namespace nutmegplank::request::shutdown;
using namespace std::chrono_literals;

namespace {

const auto START = base::TimePoint() + 1h;
//! The process ends this long after its SIGTERM.
constexpr auto STAY = base::Duration(7600ms);
constexpr auto PATIENCE = base::Duration(10s);
const auto ROUTE = std::string("talks");

auto learn(ShutdownGate &gate, int calls, base::Duration each, const std::string &route = ROUTE)
    -> void
{
    for (auto call = 0; call < calls; ++call)
        gate.take(route, START - each).finish(true, START);
}

} // namespace

TEST(ShutdownGate, ShutdownGate_NotStopping_TakesAll)
{
    auto gate = ShutdownGate();
    learn(gate, 20, 8s);
    EXPECT_TRUE(gate.maySend(ROUTE, 1h, START));
    EXPECT_TRUE(gate.hasTimeFor(1h, START));
    EXPECT_EQ(gate.limit(START + 1h), START + 1h);
}

TEST(ShutdownGate, ShutdownGate_RouteNotMeasured_TakesWhatItsPatienceEnds)
{
    auto gate = ShutdownGate();
    gate.begin(START, START + STAY);
    EXPECT_FALSE(gate.maySend(ROUTE, PATIENCE, START));
    EXPECT_TRUE(gate.maySend(ROUTE, 2s, START + 5s));
    EXPECT_FALSE(gate.maySend(ROUTE, 2s, START + 5600ms));
}

TEST(ShutdownGate, ShutdownGate_ShortCalls_AreTakenToTheEnd)
{
    auto gate = ShutdownGate();
    learn(gate, 20, 8s);
    learn(gate, 20, 25ms, "orders");
    gate.begin(START, START + STAY);
    EXPECT_TRUE(gate.maySend("orders", 200ms, START + 7300ms));
    EXPECT_FALSE(gate.maySend("orders", 200ms, START + 7301ms));
    // Those that this process can give up itself.
    EXPECT_TRUE(gate.mayTry("orders", PATIENCE, START + 7300ms));
    EXPECT_FALSE(gate.mayTry("orders", PATIENCE, START + 7500ms));
}

//! Orders of a route whose orders were short before were passed on and cut (review/14).
TEST(ShutdownGate, ShutdownGate_LateRequests_AreTakenByTheirTimeLimitOnly)
{
    auto gate = ShutdownGate();
    learn(gate, 64, 150ms);
    gate.begin(START, START + STAY);
    EXPECT_TRUE(gate.maySend(ROUTE, 9s, START + 2900ms));
    EXPECT_FALSE(gate.maySend(ROUTE, 9s, START + 3200ms));
    EXPECT_TRUE(gate.maySend(ROUTE, 4s, START + 3200ms));
}

TEST(ShutdownGate, ShutdownGate_EndOfCalls_TellsThoseThatAreStillUnderWay)
{
    auto gate = ShutdownGate();
    auto told = std::vector<std::string>();
    const auto first = ShutdownGate::EndHook(gate, [&] { told.emplace_back("first"); });
    {
        const auto ended = ShutdownGate::EndHook(gate, [&] { told.emplace_back("ended"); });
    }
    const auto second = ShutdownGate::EndHook(gate, [&] { told.emplace_back("second"); });
    gate.endCalls();
    EXPECT_EQ(told, (std::vector<std::string> { "first", "second" }));
}

TEST(ShutdownGate, ShutdownGate_MeasuredStreams_AreTakenWhileTheyCanEnd)
{
    auto gate = ShutdownGate();
    learn(gate, 20, 4s);
    gate.begin(START, START + STAY);
    EXPECT_TRUE(gate.maySend(ROUTE, PATIENCE, START + 2s));
    EXPECT_FALSE(gate.maySend(ROUTE, PATIENCE, START + 3500ms));
    // The caller itself gives up before.
    EXPECT_TRUE(gate.maySend(ROUTE, 3s, START + 4s));
}

TEST(ShutdownGate, ShutdownGate_FewMeasurements_CountAsUncertain)
{
    auto gate = ShutdownGate();
    learn(gate, 2, 3s);
    gate.begin(START, START + STAY);
    EXPECT_TRUE(gate.maySend(ROUTE, PATIENCE, START + 1s));
    EXPECT_FALSE(gate.maySend(ROUTE, PATIENCE, START + 2s));
}

TEST(ShutdownGate, ShutdownGate_LongCallsUnderWay_CountWithTheirAge)
{
    auto gate = ShutdownGate();
    learn(gate, 20, 500ms);
    auto running = gate.take(ROUTE, START - 5s);
    gate.begin(START, START + STAY);
    EXPECT_FALSE(gate.maySend(ROUTE, PATIENCE, START + 2s));
    running.finish(false, START + 2s);
    EXPECT_FALSE(gate.maySend(ROUTE, PATIENCE, START + 2s));
}

TEST(ShutdownGate, ShutdownGate_CallsCutEarly_SayNothing)
{
    auto gate = ShutdownGate();
    learn(gate, 20, 4s);
    for (auto call = 0; call < 100; ++call)
        gate.take(ROUTE, START - 100ms).finish(false, START);
    {
        const auto forgotten = gate.take(ROUTE, START - 1h);
    }
    gate.begin(START, START + STAY);
    EXPECT_FALSE(gate.maySend(ROUTE, PATIENCE, START + 3500ms));
    EXPECT_TRUE(gate.maySend(ROUTE, PATIENCE, START + 2s));
}

TEST(ShutdownGate, ShutdownGate_Stopping_LimitsWaits)
{
    auto gate = ShutdownGate();
    gate.begin(START, START + STAY);
    EXPECT_EQ(gate.limit(START + 1s), START + 1s);
    EXPECT_EQ(gate.limit(START + 1h), START + 7500ms);
    EXPECT_TRUE(gate.hasTimeFor(2s, START + 5500ms));
    EXPECT_FALSE(gate.hasTimeFor(2s, START + 5501ms));
}

//! All machines are stopped in turn, and callers go on for three times the directory's 2 s. Streams
//! that were sent over 3 s after the SIGTERM must not be cut.
TEST(ShutdownGate, ShutdownGate_RollingStopUnderStreams_CutsNoneThatItTookLate)
{
    constexpr auto MACHINES = 90;
    constexpr auto KEPT_ANSWER = base::Duration(6s);
    constexpr auto EVERY = base::Duration(50ms);
    auto random = std::mt19937(1);
    auto taken = 0;
    auto refused = 0;
    auto cut = 0;
    for (auto machine = 0; machine < MACHINES; ++machine) {
        // Routes of one length each, and of 1 to 8 s.
        const auto shortest = base::Duration(std::chrono::seconds(1 + machine % 8));
        const auto longest = machine % 2 == 0 ? shortest : base::Duration(8s);
        auto lengths =
            std::uniform_int_distribution<base::Duration::rep>(shortest.count(), longest.count());
        auto gate = ShutdownGate();
        for (auto call = 0; call < 40; ++call) {
            const auto length = base::Duration(lengths(random));
            gate.take(ROUTE, START - length).finish(true, START);
        }
        gate.begin(START, START + STAY);
        for (auto sent = START; sent < START + KEPT_ANSWER; sent += EVERY) {
            const auto length = base::Duration(lengths(random));
            if (!gate.maySend(ROUTE, PATIENCE, sent)) {
                ++refused;
                continue;
            }
            ++taken;
            if (sent > START + 3s && sent + length > START + STAY)
                ++cut;
            gate.take(ROUTE, sent).finish(true, sent + length);
        }
    }
    EXPECT_EQ(cut, 0);
    EXPECT_GT(taken, 0);
    EXPECT_GT(refused, 0);
}
