#include "request/attempt/attemptindex.h"

namespace nutmegplank::request::attempt {

auto AttemptIndex::begin(const std::string &id, const std::string &shard, base::TimePoint now)
    -> bool
{
    const auto lock = std::lock_guard(m_mutex);
    dropExpired(now);
    if (!m_entries.try_emplace(id, Entry { shard, wire::RAN_NOT_RUN }).second)
        return false;
    ++m_liveCount;
    return true;
}

auto AttemptIndex::end(const std::string &id, wire::Ran ran, base::TimePoint now) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    const auto found = m_entries.find(id);
    if (found == m_entries.end() || found->second.shard.empty())
        return;
    found->second = Entry { "", ran };
    m_endedAttempts.push_back({ id, now });
    --m_liveCount;
}

auto AttemptIndex::cancel(const std::string &id, base::TimePoint now) -> CancelTarget
{
    const auto lock = std::lock_guard(m_mutex);
    dropExpired(now);
    const auto found = m_entries.find(id);
    if (found != m_entries.end())
        return { found->second.shard, found->second.ran };
    // An earlier process at the same address may have run the attempt.
    const auto coversRetention = now - m_startedAt >= m_retention;
    const auto ran = coversRetention ? wire::RAN_NOT_RUN : wire::RAN_UNKNOWN;
    m_entries.emplace(id, Entry { "", ran });
    m_endedAttempts.push_back({ id, now });
    return { "", ran };
}

auto AttemptIndex::dropExpired(base::TimePoint now) -> void
{
    while (!m_endedAttempts.empty() && now - m_endedAttempts.front().endedAt > m_retention) {
        m_entries.erase(m_endedAttempts.front().id);
        m_endedAttempts.pop_front();
    }
}

auto AttemptIndex::liveCount() const -> std::size_t
{
    const auto lock = std::lock_guard(m_mutex);
    return m_liveCount;
}

} // namespace nutmegplank::request::attempt
