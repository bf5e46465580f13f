#include "request/attempt/attemptindex.h"

namespace nutmegplank::request::attempt {

auto AttemptIndex::begin(const std::string &id, const std::string &shard, base::TimePoint now)
    -> bool
{
    const auto lock = std::lock_guard(m_mutex);
    forget(now);
    if (!m_entries.try_emplace(id, Entry { shard, wire::RAN_NOT_RUN }).second)
        return false;
    ++m_live;
    return true;
}

auto AttemptIndex::end(const std::string &id, wire::Ran ran, base::TimePoint now) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    const auto found = m_entries.find(id);
    if (found == m_entries.end() || found->second.shard.empty())
        return;
    found->second = Entry { "", ran };
    m_ended.push_back({ id, now });
    --m_live;
}

auto AttemptIndex::cancel(const std::string &id, base::TimePoint now) -> CancelTarget
{
    const auto lock = std::lock_guard(m_mutex);
    forget(now);
    const auto found = m_entries.find(id);
    if (found != m_entries.end())
        return { found->second.shard, found->second.ran };
    // An earlier process at the same address may have run it.
    const auto remembers = now - m_startedAt >= m_memory;
    const auto ran = remembers ? wire::RAN_NOT_RUN : wire::RAN_UNKNOWN;
    m_entries.emplace(id, Entry { "", ran });
    m_ended.push_back({ id, now });
    return { "", ran };
}

auto AttemptIndex::forget(base::TimePoint now) -> void
{
    while (!m_ended.empty() && now - m_ended.front().at > m_memory) {
        m_entries.erase(m_ended.front().id);
        m_ended.pop_front();
    }
}

auto AttemptIndex::liveCount() const -> std::size_t
{
    const auto lock = std::lock_guard(m_mutex);
    return m_live;
}

} // namespace nutmegplank::request::attempt
