#include "process/shards/shardownership.h"

#include "base/hash.h"

namespace nutmegplank::process::shards {

auto ownedShards(const std::string &self, std::span<const std::string> shards,
                 std::span<const std::string> liveDispatchers) -> std::vector<std::string>
{
    auto owned = std::vector<std::string>();
    for (const auto &shard : shards) {
        if (base::rendezvousOwner(shard, liveDispatchers) == self)
            owned.push_back(shard);
    }
    return owned;
}

auto ShardOwnership::next(const Entry &entry, bool mayServe, base::TimePoint now) const -> Entry
{
    if (!mayServe)
        return { ShardState::Fenced, {} };
    const auto begins = entry.state == ShardState::NotOwner || entry.state == ShardState::Fenced;
    if (begins)
        return { ShardState::Handover, now + m_handoverDelay };
    if (entry.state == ShardState::Handover && now >= entry.serveFrom)
        return { ShardState::Serving, entry.serveFrom };
    return entry;
}

auto ShardOwnership::update(const OwnershipInput &input, base::TimePoint now)
    -> std::vector<ShardChange>
{
    auto entries = std::map<std::string, Entry>();
    auto changes = std::vector<ShardChange>();
    for (const auto &shard : input.owned) {
        const auto known = m_entries.find(shard);
        const auto before = known == m_entries.end() ? Entry() : known->second;
        const auto after = next(before, input.mayServe, now);
        entries.emplace(shard, after);
        if (before.state != after.state)
            changes.push_back({ shard, before.state, after.state });
    }
    for (const auto &[shard, entry] : m_entries) {
        if (!entries.contains(shard))
            changes.push_back({ shard, entry.state, ShardState::NotOwner });
    }
    m_entries = std::move(entries);
    return changes;
}

auto ShardOwnership::state(const std::string &shard) const -> ShardState
{
    const auto found = m_entries.find(shard);
    return found == m_entries.end() ? ShardState::NotOwner : found->second.state;
}

auto ShardOwnership::owned() const -> std::vector<std::string>
{
    auto names = std::vector<std::string>();
    for (const auto &[shard, entry] : m_entries)
        names.push_back(shard);
    return names;
}

} // namespace nutmegplank::process::shards
