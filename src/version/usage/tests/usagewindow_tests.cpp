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

//! Applies a window record as replay does: only the first record with the next number is applied.
auto apply(state::LogState &log, const WindowContent &content) -> bool
{
    if (content.number != nextWindowNumber(log))
        return false;
    log.windows[content.number] = { content.number, content.startMs, content.endMs,
                                    content.figures };
    for (const auto &mark : content.marks)
        log.usageMarks[mark.process] = mark;
    return true;
}

auto addTo(UsageTotals &series, const state::UsageFigure &figure) -> void
{
    auto &amount = series[{ figure.workspace, figure.service }];
    amount.requests += figure.requests;
    amount.promptTokens += figure.promptTokens;
    amount.generatedTokens += figure.generatedTokens;
    amount.serverMilliseconds += figure.serverMilliseconds;
}

//! Simulates gateways that count usage, controllers that receive the counters late or not at all,
//! and lease holders that close windows from possibly outdated counters and log states.
class UsageSimulation
{
public:
    UsageSimulation()
    {
        for (auto index = 0; index < GATEWAYS; ++index)
            m_gateways.push_back(makeUsageCounters("gateway-" + std::to_string(index) + "#1"));
    }

    auto serveRequest() -> void
    {
        const auto figure = state::UsageFigure { *rc::gen::element<std::string>("mats", "bars"),
                                                 *rc::gen::element<std::string>("quote", "desk"),
                                                 1,
                                                 *rc::gen::inRange<std::uint64_t>(0, 50),
                                                 *rc::gen::inRange<std::uint64_t>(0, 50),
                                                 *rc::gen::inRange<std::uint64_t>(0, 900) };
        gateway().add(figure);
        addTo(m_servedUsage, figure);
    }
    auto sendCounters() -> void { m_messages.push_back(gateway().collect()); }
    //! Delivers any earlier message to any controller; messages may be duplicated or late.
    auto deliverMessage() -> void
    {
        if (!m_messages.empty())
            controller().merge(m_messages[*rc::gen::inRange<std::size_t>(0, m_messages.size())]);
    }
    auto collect() -> void
    {
        auto &collector = controller();
        for (const auto &counters : controller().collect())
            collector.merge(counters);
    }
    //! The lease holder may use an outdated log state, or may have lost the lease.
    auto close() -> void
    {
        const auto &read = m_logHistory[*rc::gen::inRange<std::size_t>(0, m_logHistory.size())];
        closeWindowFrom(controller(), *rc::gen::arbitrary<bool>() ? m_log : read);
    }
    //! Reports the windows in the log to the platform; if the response is lost, reports them again.
    auto report() -> void
    {
        for (const auto &window : unreportedWindows(m_log)) {
            const auto [stored, inserted] =
                m_reportedWindows.emplace(window.number, window.figures);
            RC_ASSERT(inserted || equal(stored->second, window.figures));
            if (*rc::gen::arbitrary<bool>())
                m_log.windows[window.number].reported = true;
        }
    }
    auto resetController() -> void { controller() = CounterTable(); }

    auto finish() -> void
    {
        auto &leaseHolder = m_controllers[0];
        for (const auto &gateway : m_gateways)
            leaseHolder.merge(gateway->collect());
        closeWindowFrom(leaseHolder, m_log);
        report();
        auto reported = UsageTotals();
        for (const auto &[number, figures] : m_reportedWindows) {
            for (const auto &figure : figures)
                addTo(reported, figure);
        }
        RC_ASSERT(reported == m_servedUsage);
    }

private:
    static auto equal(const std::vector<state::UsageFigure> &left,
                      const std::vector<state::UsageFigure> &right) -> bool
    {
        auto one = UsageTotals();
        auto other = UsageTotals();
        for (const auto &figure : left)
            addTo(one, figure);
        for (const auto &figure : right)
            addTo(other, figure);
        return one == other && left.size() == right.size();
    }
    auto closeWindowFrom(const CounterTable &table, const state::LogState &read) -> void
    {
        const auto number = nextWindowNumber(read);
        apply(m_log, closeWindow(table, read.usageMarks, number, 0, 0));
        m_logHistory.push_back(m_log);
    }
    auto gateway() -> IUsageCounters & { return *m_gateways[*rc::gen::inRange(0, GATEWAYS)]; }
    auto controller() -> CounterTable & { return m_controllers[*rc::gen::inRange(0, CONTROLLERS)]; }

    std::vector<std::unique_ptr<IUsageCounters>> m_gateways;
    std::array<CounterTable, CONTROLLERS> m_controllers;
    std::vector<wire::UsageCounters> m_messages;
    state::LogState m_log;
    std::vector<state::LogState> m_logHistory { state::LogState() };
    std::map<std::uint64_t, std::vector<state::UsageFigure>> m_reportedWindows;
    UsageTotals m_servedUsage;
};

} // namespace

// Guards against usage that is lost or counted twice when messages are lost, late or duplicated, a
// controller loses its counters, or a former lease holder still closes windows.
RC_GTEST_PROP(Usage_Windows, CountEachUnitInExactlyOneWindow, ())
{
    auto simulation = UsageSimulation();
    const auto steps = *rc::gen::inRange(0, 120);
    for (auto step = 0; step < steps; ++step) {
        switch (*rc::gen::inRange(0, 9)) {
        case 0:
        case 1:
            simulation.serveRequest();
            break;
        case 2:
            simulation.sendCounters();
            break;
        case 3:
        case 4:
            simulation.deliverMessage();
            break;
        case 5:
            simulation.collect();
            break;
        case 6:
            simulation.close();
            break;
        case 7:
            simulation.report();
            break;
        default:
            if (*rc::gen::inRange(0, 5) == 0)
                simulation.resetController();
            break;
        }
    }
    simulation.finish();
}

// Guards against increments that are lost when threads add to new and existing counters
// concurrently.
TEST(Usage_Counters, KeepAllIncrementsFromManyThreads)
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
