#include "version/journal/reachability.h"

#include "base/status.h"
#include "process/logging/logging.h"

namespace nutmegplank::version::journal {

namespace {

//! Back-off after the first failed read. It doubles up to the maximum, so that an unavailable log
//! is not overloaded and its recovery is still detected within a fraction of a second.
constexpr auto FIRST_BACK_OFF = std::chrono::milliseconds(30);
constexpr auto MAX_BACK_OFF = std::chrono::milliseconds(240);
constexpr auto FAST_RETRY_BACK_OFF = std::chrono::milliseconds(30);
constexpr auto FAST_RETRY_GRACE = std::chrono::milliseconds(200);
constexpr auto FAST_RETRY_DURATION = std::chrono::milliseconds(400);
//! During fast retries, one read out of this many keeps the full grace time.
constexpr auto FULL_GRACE_INTERVAL = 5U;

} // namespace

auto Reachability::noteAnswer(base::TimePoint now) -> void
{
    if (!m_reachable) {
        process::logging::info("journal.reachable",
                               { { "topic", m_partition.topic },
                                 { "partition", m_partition.number },
                                 { "unreachable_ms", base::toMilliseconds(now - m_answeredAt) } });
        m_recoveredAt = now;
    }
    m_reachable = true;
    m_backOff = base::Duration(0);
    m_answeredAt = now;
}

auto Reachability::noteFailure(const absl::Status &status, base::TimePoint now) -> void
{
    if (m_reachable)
        process::logging::warning(
            "journal.unreachable",
            { { "topic", m_partition.topic },
              { "partition", m_partition.number },
              { "since_last_answer_ms", base::toMilliseconds(now - m_answeredAt) },
              { "problem", base::describe(status) } });
    m_reachable = false;
    m_backOff = m_backOff.count() == 0 ? base::Duration(FIRST_BACK_OFF)
                                       : std::min<base::Duration>(m_backOff * 2, MAX_BACK_OFF);
}

auto Reachability::requestFastRetries(base::TimePoint now) -> void
{
    m_fastRetryUntil = now + FAST_RETRY_DURATION;
}

auto Reachability::backOff(base::TimePoint now) const -> base::Duration
{
    return now < m_fastRetryUntil ? std::min<base::Duration>(m_backOff, FAST_RETRY_BACK_OFF)
                                  : m_backOff;
}

auto Reachability::nextRead(base::Duration wait, base::TimePoint now) -> ReadTimes
{
    // While the log is unreachable, a read without long polling detects its recovery at once.
    auto times = ReadTimes();
    if (m_reachable)
        times.wait = wait;
    else if (now < m_fastRetryUntil && ++m_fastRetryReads % FULL_GRACE_INTERVAL != 0)
        times.grace = FAST_RETRY_GRACE;
    return times;
}

} // namespace nutmegplank::version::journal
