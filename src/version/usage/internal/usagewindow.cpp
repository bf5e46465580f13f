#include "version/usage/usagewindow.h"

#include <algorithm>

namespace nutmegplank::version::usage {

namespace {

auto keyOf(const state::UsageFigure &figure) -> SeriesKey
{
    return { figure.workspace, figure.service };
}

auto amountOf(const state::UsageFigure &figure) -> Amount
{
    return { figure.requests, figure.promptTokens, figure.generatedTokens,
             figure.serverMilliseconds };
}

auto toFigure(const SeriesKey &key, const Amount &amount) -> state::UsageFigure
{
    return { key.workspace,          key.service,
             amount.requests,        amount.promptTokens,
             amount.generatedTokens, amount.serverMilliseconds };
}

//! Applies \a combine to each field of two amounts.
template <typename Combine>
auto combined(const Amount &left, const Amount &right, Combine combine) -> Amount
{
    return { combine(left.requests, right.requests), combine(left.promptTokens, right.promptTokens),
             combine(left.generatedTokens, right.generatedTokens),
             combine(left.serverMilliseconds, right.serverMilliseconds) };
}

auto larger(const Amount &left, const Amount &right) -> Amount
{
    return combined(left, right, [](auto one, auto other) { return std::max(one, other); });
}

auto sum(const Amount &left, const Amount &right) -> Amount
{
    return combined(left, right, [](auto one, auto other) { return one + other; });
}

//! What \a counter has grown beyond \a mark; a counter that is behind its mark is merely late.
auto growth(const Amount &counter, const Amount &mark) -> Amount
{
    return combined(counter, mark,
                    [](auto one, auto other) { return one > other ? one - other : 0; });
}

auto seriesOf(const state::UsageMark &mark) -> Series
{
    auto series = Series();
    for (const auto &figure : mark.counted)
        series[keyOf(figure)] = amountOf(figure);
    return series;
}

auto toFigures(const Series &series) -> std::vector<state::UsageFigure>
{
    auto figures = std::vector<state::UsageFigure>();
    for (const auto &[key, amount] : series)
        figures.push_back(toFigure(key, amount));
    return figures;
}

} // namespace

auto CounterTable::merge(const wire::UsageCounters &counters) -> void
{
    if (counters.process().empty())
        return;
    auto &series = m_processes[counters.process()];
    for (const auto &counter : counters.counters()) {
        auto &amount = series[{ counter.workspace(), counter.service() }];
        amount = larger(amount,
                        { counter.requests(), counter.prompt_tokens(), counter.generated_tokens(),
                          counter.server_milliseconds() });
    }
}

auto CounterTable::collect() const -> std::vector<wire::UsageCounters>
{
    auto all = std::vector<wire::UsageCounters>();
    for (const auto &[process, series] : m_processes) {
        auto &counters = all.emplace_back();
        counters.set_process(process);
        for (const auto &[key, amount] : series) {
            auto *counter = counters.add_counters();
            counter->set_workspace(key.workspace);
            counter->set_service(key.service);
            counter->set_requests(amount.requests);
            counter->set_prompt_tokens(amount.promptTokens);
            counter->set_generated_tokens(amount.generatedTokens);
            counter->set_server_milliseconds(amount.serverMilliseconds);
        }
    }
    return all;
}

auto closeWindow(const CounterTable &table, const UsageMarks &marks, std::uint64_t number,
                 std::int64_t startMs, std::int64_t endMs) -> WindowContent
{
    auto content = WindowContent { number, startMs, endMs, {}, {} };
    auto totals = Series();
    for (const auto &[process, series] : table.processes()) {
        const auto known = marks.find(process);
        auto marked = known == marks.end() ? Series() : seriesOf(known->second);
        auto grew = false;
        for (const auto &[key, amount] : series) {
            auto &mark = marked[key];
            const auto added = growth(amount, mark);
            if (added == Amount())
                continue;
            grew = true;
            totals[key] = sum(totals[key], added);
            mark = larger(mark, amount);
        }
        if (grew)
            content.marks.push_back({ process, toFigures(marked) });
    }
    content.figures = toFigures(totals);
    return content;
}

auto nextNumber(const state::LogState &state) -> std::uint64_t
{
    return state.windows.empty() ? 1 : state.windows.rbegin()->first + 1;
}

auto unreported(const state::LogState &state) -> std::vector<state::UsageWindowState>
{
    auto windows = std::vector<state::UsageWindowState>();
    for (const auto &[number, window] : state.windows) {
        if (!window.reported)
            windows.push_back(window);
    }
    return windows;
}

} // namespace nutmegplank::version::usage
