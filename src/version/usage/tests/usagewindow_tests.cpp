#include <thread>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "version/usage/iusagecounters.h"
#include "version/usage/usagewindow.h"

using namespace nutmegplank;
using namespace nutmegplank::version;
using namespace nutmegplank::version::usage;

namespace {

constexpr auto GATEWAYS = 3;
constexpr auto CONTROLLERS = 3;

//! Replay's rule for windows: the first record of the next number counts, all others do not.
auto apply(state::LogState &log, const WindowContent &content) -> bool
{
    if (content.number != nextNumber(log))
        return false;
    log.windows[content.number] = { content.number, content.startMs, content.endMs,
                                    content.figures };
    for (const auto &mark : content.marks)
        log.usageMarks[mark.process] = mark;
    return true;
}

auto addTo(Series &series, const state::UsageFigure &figure) -> void
{
    auto &amount = series[{ figure.workspace, figure.service }];
    amount.requests += figure.requests;
    amount.promptTokens += figure.promptTokens;
    amount.generatedTokens += figure.generatedTokens;
    amount.serverMilliseconds += figure.serverMilliseconds;
}

//! Gateways that count, controllers that hear of it late or not at all, and holders that close
//! windows from what they know, some of it old.
class World
{
public:
    World()
    {
        for (auto index = 0; index < GATEWAYS; ++index)
            m_gateways.push_back(makeUsageCounters("gateway-" + std::to_string(index) + "#1"));
    }

    auto serve() -> void
    {
        const auto figure = state::UsageFigure { *rc::gen::element<std::string>("mats", "bars"),
                                                 *rc::gen::element<std::string>("quote", "desk"),
                                                 1,
                                                 *rc::gen::inRange<std::uint64_t>(0, 50),
                                                 *rc::gen::inRange<std::uint64_t>(0, 50),
                                                 *rc::gen::inRange<std::uint64_t>(0, 900) };
        gateway().add(figure);
        addTo(m_truth, figure);
    }
    auto send() -> void { m_messages.push_back(gateway().collect()); }
    //! Any message reaches any controller, once more or much later too.
    auto deliver() -> void
    {
        if (!m_messages.empty())
            controller().merge(m_messages[*rc::gen::inRange<std::size_t>(0, m_messages.size())]);
    }
    auto collect() -> void
    {
        auto &asker = controller();
        for (const auto &counters : controller().collect())
            asker.merge(counters);
    }
    //! A holder may have read the log some records ago, or be no holder any more.
    auto close() -> void
    {
        const auto &read = m_history[*rc::gen::inRange<std::size_t>(0, m_history.size())];
        closeFrom(controller(), *rc::gen::arbitrary<bool>() ? m_log : read);
    }
    //! The platform hears of windows in the log; answers are lost, and it hears again.
    auto report() -> void
    {
        for (const auto &window : unreported(m_log)) {
            const auto [stands, first] = m_platform.emplace(window.number, window.figures);
            RC_ASSERT(first || equal(stands->second, window.figures));
            if (*rc::gen::arbitrary<bool>())
                m_log.windows[window.number].reported = true;
        }
    }
    auto loseController() -> void { controller() = CounterTable(); }

    auto finish() -> void
    {
        auto &holder = m_controllers[0];
        for (const auto &gateway : m_gateways)
            holder.merge(gateway->collect());
        closeFrom(holder, m_log);
        report();
        auto reported = Series();
        for (const auto &[number, figures] : m_platform) {
            for (const auto &figure : figures)
                addTo(reported, figure);
        }
        RC_ASSERT(reported == m_truth);
    }

private:
    static auto equal(const std::vector<state::UsageFigure> &left,
                      const std::vector<state::UsageFigure> &right) -> bool
    {
        auto one = Series();
        auto other = Series();
        for (const auto &figure : left)
            addTo(one, figure);
        for (const auto &figure : right)
            addTo(other, figure);
        return one == other && left.size() == right.size();
    }
    auto closeFrom(const CounterTable &table, const state::LogState &read) -> void
    {
        const auto number = nextNumber(read);
        apply(m_log, closeWindow(table, read.usageMarks, number, 0, 0));
        m_history.push_back(m_log);
    }
    auto gateway() -> IUsageCounters & { return *m_gateways[*rc::gen::inRange(0, GATEWAYS)]; }
    auto controller() -> CounterTable & { return m_controllers[*rc::gen::inRange(0, CONTROLLERS)]; }

    std::vector<std::unique_ptr<IUsageCounters>> m_gateways;
    std::array<CounterTable, CONTROLLERS> m_controllers;
    std::vector<wire::UsageCounters> m_messages;
    state::LogState m_log;
    std::vector<state::LogState> m_history { state::LogState() };
    std::map<std::uint64_t, std::vector<state::UsageFigure>> m_platform;
    Series m_truth;
};

} // namespace

RC_GTEST_PROP(Usage_Windows, EachUnitInExactlyOneWindow, ())
{
    auto world = World();
    const auto steps = *rc::gen::inRange(0, 120);
    for (auto step = 0; step < steps; ++step) {
        switch (*rc::gen::inRange(0, 9)) {
        case 0:
        case 1:
            world.serve();
            break;
        case 2:
            world.send();
            break;
        case 3:
        case 4:
            world.deliver();
            break;
        case 5:
            world.collect();
            break;
        case 6:
            world.close();
            break;
        case 7:
            world.report();
            break;
        default:
            if (*rc::gen::inRange(0, 5) == 0)
                world.loseController();
            break;
        }
    }
    world.finish();
}

TEST(Usage_Counters, ManyThreadsLoseNothing)
{
    constexpr auto THREADS = 4;
    constexpr auto ROUNDS = 5000;
    const auto counters = makeUsageCounters("gateway-0#1");
    auto threads = std::vector<std::thread>();
    for (auto index = 0; index < THREADS; ++index) {
        threads.emplace_back([&counters] {
            for (auto round = 0; round < ROUNDS; ++round)
                counters->add({ "w" + std::to_string(round % 3), "s", 1, 2, 3, 4 });
        });
    }
    for (auto &thread : threads)
        thread.join();
    auto requests = std::uint64_t(0);
    auto milliseconds = std::uint64_t(0);
    const auto collected = counters->collect();
    for (const auto &counter : collected.counters()) {
        requests += counter.requests();
        milliseconds += counter.server_milliseconds();
    }
    EXPECT_EQ(collected.process(), "gateway-0#1");
    EXPECT_EQ(requests, THREADS * ROUNDS);
    EXPECT_EQ(milliseconds, 4 * THREADS * ROUNDS);
}
