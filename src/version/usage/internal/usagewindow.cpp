#include "version/usage/usagewindow.h"

#include <algorithm>

namespace nutmegplank::version::usage {

namespace {

auto keyOf(const state::UsageFigure &figure) -> SeriesKey
{
    return { figure.workspace, figure.service };
}

auto amountOf(const state::UsageFigure &figure) -> UsageAmount
{
    return { figure.requests, figure.promptTokens, figure.generatedTokens,
             figure.serverMilliseconds };
}

auto toFigure(const SeriesKey &key, const UsageAmount &amount) -> state::UsageFigure
{
    return { key.workspace,          key.service,
             amount.requests,        amount.promptTokens,
             amount.generatedTokens, amount.serverMilliseconds };
}

//! Applies \a combine to each pair of fields.
template <typename Combine>
auto combineAmounts(const UsageAmount &left, const UsageAmount &right, Combine combine)
    -> UsageAmount
{
    return { combine(left.requests, right.requests), combine(left.promptTokens, right.promptTokens),
             combine(left.generatedTokens, right.generatedTokens),
             combine(left.serverMilliseconds, right.serverMilliseconds) };
}

auto maxOf(const UsageAmount &left, const UsageAmount &right) -> UsageAmount
{
    return combineAmounts(left, right, [](auto leftValue, auto rightValue) {
        return std::max(leftValue, rightValue);
    });
}

auto sum(const UsageAmount &left, const UsageAmount &right) -> UsageAmount
{
    return combineAmounts(left, right,
                          [](auto leftValue, auto rightValue) { return leftValue + rightValue; });
}

//! Increase of \a counter since \a mark. A counter below its mark is only out of date and counts as
//! no increase.
auto increaseSince(const UsageAmount &counter, const UsageAmount &mark) -> UsageAmount
{
    return combineAmounts(counter, mark, [](auto leftValue, auto rightValue) {
        return leftValue > rightValue ? leftValue - rightValue : 0;
    });
}

auto seriesOf(const state::UsageMark &mark) -> UsageTotals
{
    auto series = UsageTotals();
    for (const auto &figure : mark.counted)
        series[keyOf(figure)] = amountOf(figure);
    return series;
}

auto toFigures(const UsageTotals &series) -> std::vector<state::UsageFigure>
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
        amount = maxOf(amount,
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
    auto totals = UsageTotals();
    for (const auto &[process, series] : table.processes()) {
        const auto previousMark = marks.find(process);
        auto newMarks =
            previousMark == marks.end() ? UsageTotals() : seriesOf(previousMark->second);
        auto hasIncrease = false;
        for (const auto &[key, amount] : series) {
            auto &mark = newMarks[key];
            const auto increase = increaseSince(amount, mark);
            if (increase == UsageAmount())
                continue;
            hasIncrease = true;
            totals[key] = sum(totals[key], increase);
            mark = maxOf(mark, amount);
        }
        if (hasIncrease)
            content.marks.push_back({ process, toFigures(newMarks) });
    }
    content.figures = toFigures(totals);
    return content;
}

auto nextWindowNumber(const state::LogState &state) -> std::uint64_t
{
    return state.windows.empty() ? 1 : state.windows.rbegin()->first + 1;
}

auto unreportedWindows(const state::LogState &state) -> std::vector<state::UsageWindowState>
{
    auto windows = std::vector<state::UsageWindowState>();
    for (const auto &[number, window] : state.windows) {
        if (!window.reported)
            windows.push_back(window);
    }
    return windows;
}

} // namespace nutmegplank::version::usage
