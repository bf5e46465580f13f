#include "request/shutdown/shutdowngate.h"

#include <algorithm>

namespace nutmegplank::request::shutdown {

namespace {

//! The users excuse that a request is cut which was sent up to this long after the SIGTERM.
constexpr auto EXPECTING_TIME = std::chrono::seconds(3);
//! For writing the answer before the process ends.
constexpr auto ANSWER_MARGIN = std::chrono::milliseconds(100);
constexpr auto KEPT_DURATIONS = std::size_t(64);
//! With fewer durations the longest says little about the next one.
constexpr auto ENOUGH_DURATIONS = std::size_t(8);
//! A call may last longer than the longest of the last ones by this factor.
constexpr auto LONGER_THAN_MANY = 1.25;
constexpr auto LONGER_THAN_FEW = 2.0;
//! The same for short calls: a busy server or machine adds this much.
constexpr auto WAITING_TIME = std::chrono::milliseconds(150);

} // namespace

ShutdownGate::TakenCall::TakenCall(HistoryPtr history, base::TimePoint startedAt)
    : m_history(std::move(history))
    , m_startedAt(startedAt)
{
    m_history->running.insert(m_startedAt);
}

ShutdownGate::TakenCall::~TakenCall()
{
    if (m_history != nullptr)
        m_history->running.erase(m_history->running.find(m_startedAt));
}

auto ShutdownGate::TakenCall::finish(bool complete, base::TimePoint now) -> void
{
    const auto history = std::exchange(m_history, nullptr);
    if (history == nullptr)
        return;
    history->running.erase(history->running.find(m_startedAt));
    const auto lasted = now - m_startedAt;
    auto &durations = history->durations;
    const auto isLongest = durations.empty() || lasted > *std::ranges::max_element(durations);
    if (!complete && !isLongest)
        return;
    durations.push_back(lasted);
    if (durations.size() > KEPT_DURATIONS)
        durations.pop_front();
}

ShutdownGate::EndHook::EndHook(ShutdownGate &gate, std::function<void()> hook)
    : m_gate(gate)
    , m_hook(m_gate.m_endHooks.insert(m_gate.m_endHooks.end(), std::move(hook)))
{ }

ShutdownGate::EndHook::~EndHook()
{
    m_gate.m_endHooks.erase(m_hook);
}

auto ShutdownGate::begin(base::TimePoint now, base::TimePoint end) -> void
{
    m_expectsUntil = now + EXPECTING_TIME;
    m_lastAnswer = end - ANSWER_MARGIN;
}

auto ShutdownGate::endCalls() -> void
{
    for (const auto &hook : m_endHooks)
        hook();
}

auto ShutdownGate::expectedDuration(const std::string &route, base::TimePoint now) const
    -> std::optional<base::Duration>
{
    const auto found = m_histories.find(route);
    if (found == m_histories.end() || found->second->durations.empty())
        return std::nullopt;
    const auto &history = *found->second;
    auto longest = *std::ranges::max_element(history.durations);
    if (!history.running.empty())
        longest = std::max(longest, now - *history.running.begin());
    const auto isCertain = history.durations.size() >= ENOUGH_DURATIONS;
    const auto factor = isCertain ? LONGER_THAN_MANY : LONGER_THAN_FEW;
    return std::chrono::duration_cast<base::Duration>(longest * factor) + WAITING_TIME;
}

auto ShutdownGate::maySend(const std::string &route, base::Duration patience,
                           base::TimePoint now) const -> bool
{
    if (m_lastAnswer.has_value() && now > m_expectsUntil)
        return hasTimeFor(patience, now);
    return mayTry(route, patience, now);
}

auto ShutdownGate::mayTry(const std::string &route, base::Duration atMost,
                          base::TimePoint now) const -> bool
{
    if (!m_lastAnswer.has_value())
        return true;
    const auto expected = expectedDuration(route, now).value_or(atMost);
    return hasTimeFor(std::min(expected, atMost), now);
}

auto ShutdownGate::hasTimeFor(base::Duration atMost, base::TimePoint now) const -> bool
{
    return !m_lastAnswer.has_value() || now + atMost <= *m_lastAnswer;
}

auto ShutdownGate::limit(base::TimePoint until) const -> base::TimePoint
{
    return m_lastAnswer.has_value() ? std::min(until, *m_lastAnswer) : until;
}

auto ShutdownGate::take(const std::string &route, base::TimePoint now) -> TakenCall
{
    auto &history = m_histories[route];
    if (history == nullptr)
        history = std::make_shared<History>();
    return { history, now };
}

} // namespace nutmegplank::request::shutdown
