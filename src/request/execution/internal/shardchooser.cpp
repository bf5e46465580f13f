#include "request/execution/shardchooser.h"

#include "base/hash.h"

namespace nutmegplank::request::execution {

namespace {

//! Older hints are ignored; the load is then estimated from the open attempts of this process only.
constexpr auto HINT_LIFETIME = std::chrono::seconds(5);
//! Load, relative to its capacity, up to which the shard that has the prefix cached is chosen.
constexpr auto MAX_AFFINITY_LOAD = 1.0;
//! Above MAX_AFFINITY_LOAD, that shard is chosen while its load exceeds that of the better random
//! candidate by at most this.
constexpr auto AFFINITY_MARGIN = 0.5;

auto excludeShard(const std::vector<std::string> &shards, const std::string &avoid)
    -> std::vector<std::string>
{
    auto remaining = shards;
    if (shards.size() > 1)
        std::erase(remaining, avoid);
    return remaining;
}

} // namespace

ShardChooser::ShardChooser(ShardPolicy policy)
    : m_policy(policy)
{ }

auto ShardChooser::choose(const ShardQuery &query, base::TimePoint now) -> std::string
{
    const auto shards = excludeShard(query.shards, query.avoid);
    if (shards.empty())
        return {};
    const auto lock = std::lock_guard(m_mutex);
    if (m_policy == ShardPolicy::RoundRobin)
        return shards[m_nextIndex++ % shards.size()];
    if (m_policy == ShardPolicy::Static)
        return base::rendezvousOwner(query.requestId, shards);
    return chooseLoadAware(shards, query, now);
}

auto ShardChooser::chooseLoadAware(const std::vector<std::string> &shards, const ShardQuery &query,
                                   base::TimePoint now) const -> std::string
{
    const auto &first = shards[query.random % shards.size()];
    const auto &second = shards[(query.random >> 32) % shards.size()];
    const auto firstLoad = estimateLoad(first, now);
    const auto secondLoad = estimateLoad(second, now);
    const auto &best = secondLoad < firstLoad ? second : first;
    if (query.prefixKey.empty())
        return best;
    auto affinityShard = base::rendezvousOwner(query.prefixKey, shards);
    const auto affinityLoad = estimateLoad(affinityShard, now);
    const auto affinityLimit =
        std::max(MAX_AFFINITY_LOAD, std::min(firstLoad, secondLoad) + AFFINITY_MARGIN);
    return affinityLoad <= affinityLimit ? affinityShard : best;
}

auto ShardChooser::estimateLoad(const std::string &shard, base::TimePoint now) const -> double
{
    const auto found = m_loads.find(shard);
    if (found == m_loads.end())
        return 0;
    const auto &load = found->second;
    if (now - load.hintReceivedAt > HINT_LIFETIME)
        return load.openAttempts / load.capacity;
    const auto sentSinceHint = load.openAttempts > load.openAttemptsAtHint
        ? load.openAttempts - load.openAttemptsAtHint
        : 0;
    return load.hintedLoad + sentSinceHint / load.capacity;
}

auto ShardChooser::recordLoadHint(const wire::LoadHint &hint, base::TimePoint now) -> void
{
    if (hint.shard().empty())
        return;
    const auto lock = std::lock_guard(m_mutex);
    auto &load = m_loads[hint.shard()];
    load.capacity = std::max(1U, hint.capacity());
    load.hintedLoad = (hint.queued() + hint.running()) / load.capacity;
    load.hintReceivedAt = now;
    load.openAttemptsAtHint = load.openAttempts;
}

auto ShardChooser::recordSent(const std::string &shard) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    ++m_loads[shard].openAttempts;
}

auto ShardChooser::recordEnded(const std::string &shard) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    auto &load = m_loads[shard];
    load.openAttempts -= load.openAttempts > 0 ? 1 : 0;
    load.openAttemptsAtHint = std::min(load.openAttemptsAtHint, load.openAttempts);
}

} // namespace nutmegplank::request::execution
