#include "logfaults.h"

#include <boost/json.hpp>

#include "base/jsonreader.h"

namespace nutmegplank::standins::log {

namespace {

constexpr auto MOST = 1'000'000;
//! Appends that may come at once, as a share of a second's.
constexpr auto BURST_SECONDS = 0.25;

} // namespace

auto LogFaults::set(const boost::json::object &control) -> absl::Status
{
    const auto lock = std::lock_guard(m_mutex);
    auto reader = base::ObjectReader(control, "control");
    reader.raw("retention_records");
    const auto outage = reader.boolean("outage", m_outage);
    const auto delay = reader.integer("delay_ms", { 0, MOST }, base::toMilliseconds(m_delay));
    const auto lose = reader.number("lose_answers", 0, MOST, 0);
    const auto setsLose = reader.has("lose_answers");
    const auto rate = reader.number("append_rate", 0, MOST, m_appendRate);
    const auto status = reader.finish();
    if (!status.ok())
        return status;
    m_outage = outage;
    m_delay = std::chrono::milliseconds(delay);
    m_appendRate = rate;
    if (setsLose) {
        m_loseShare = lose < 1 ? lose : 0;
        m_loseNext = lose < 1 ? 0 : static_cast<std::int64_t>(lose);
    }
    return absl::OkStatus();
}

auto LogFaults::fateOfAppend(base::TimePoint now) -> AppendFate
{
    const auto lock = std::lock_guard(m_mutex);
    if (m_outage)
        return AppendFate::Outage;
    if (overRate(now)) {
        ++m_refused;
        return AppendFate::TooMany;
    }
    ++m_appends;
    auto lost = std::bernoulli_distribution(m_loseShare)(m_random);
    if (m_loseNext > 0) {
        --m_loseNext;
        lost = true;
    }
    m_lost += lost ? 1 : 0;
    return lost ? AppendFate::LoseAnswer : AppendFate::Answer;
}

auto LogFaults::overRate(base::TimePoint now) -> bool
{
    if (m_appendRate <= 0)
        return false;
    const auto burst = std::max(1.0, m_appendRate * BURST_SECONDS);
    m_tokens = std::min(burst, m_tokens + m_appendRate * base::toSeconds(now - m_refilled));
    m_refilled = now;
    if (m_tokens < 1)
        return true;
    m_tokens -= 1;
    return false;
}

auto LogFaults::outage() const -> bool
{
    const auto lock = std::lock_guard(m_mutex);
    return m_outage;
}

auto LogFaults::delay() const -> base::Duration
{
    const auto lock = std::lock_guard(m_mutex);
    return m_delay;
}

auto LogFaults::stats() const -> boost::json::object
{
    const auto lock = std::lock_guard(m_mutex);
    return { { "appends", m_appends }, { "answers_lost", m_lost }, { "refused", m_refused } };
}

} // namespace nutmegplank::standins::log
