#include "request/execution/shardchooser.h"

#include "base/hash.h"

namespace nutmegplank::request::execution {

namespace {

//! Older hints say nothing; then only what this process has open counts.
constexpr auto HINT_LIFE = std::chrono::seconds(5);
//! A shard with the prefix in its cache is kept up to this load, counted in its capacity.
constexpr auto AFFINITY_LOAD = 1.0;
//! ... or while the best other choice is not better by more than this.
constexpr auto AFFINITY_MARGIN = 0.5;

auto without(const std::vector<std::string> &shards, const std::string &avoid)
    -> std::vector<std::string>
{
    auto kept = shards;
    if (shards.size() > 1)
        std::erase(kept, avoid);
    return kept;
}

} // namespace

ShardChooser::ShardChooser(ShardPolicy policy)
    : m_policy(policy)
{ }

auto ShardChooser::choose(const ShardQuery &query, base::TimePoint now) -> std::string
{
    const auto shards = without(query.shards, query.avoid);
    if (shards.empty())
        return {};
    const auto lock = std::lock_guard(m_mutex);
    if (m_policy == ShardPolicy::RoundRobin)
        return shards[m_next++ % shards.size()];
    if (m_policy == ShardPolicy::Static)
        return base::rendezvousOwner(query.requestId, shards);
    return chooseAware(shards, query, now);
}

auto ShardChooser::chooseAware(const std::vector<std::string> &shards, const ShardQuery &query,
                               base::TimePoint now) const -> std::string
{
    const auto &first = shards[query.random % shards.size()];
    const auto &second = shards[(query.random >> 32) % shards.size()];
    const auto firstScore = score(first, now);
    const auto secondScore = score(second, now);
    const auto &best = secondScore < firstScore ? second : first;
    if (query.prefixKey.empty())
        return best;
    auto home = base::rendezvousOwner(query.prefixKey, shards);
    const auto homeScore = score(home, now);
    const auto guard = std::max(AFFINITY_LOAD, std::min(firstScore, secondScore) + AFFINITY_MARGIN);
    return homeScore <= guard ? home : best;
}

auto ShardChooser::score(const std::string &shard, base::TimePoint now) const -> double
{
    const auto found = m_loads.find(shard);
    if (found == m_loads.end())
        return 0;
    const auto &load = found->second;
    if (now - load.heard > HINT_LIFE)
        return load.open / load.capacity;
    const auto sentSince = load.open > load.openAtHint ? load.open - load.openAtHint : 0;
    return load.hinted + sentSince / load.capacity;
}

auto ShardChooser::learn(const wire::LoadHint &hint, base::TimePoint now) -> void
{
    if (hint.shard().empty())
        return;
    const auto lock = std::lock_guard(m_mutex);
    auto &load = m_loads[hint.shard()];
    load.capacity = std::max(1U, hint.capacity());
    load.hinted = (hint.queued() + hint.running()) / load.capacity;
    load.heard = now;
    load.openAtHint = load.open;
}

auto ShardChooser::recordSent(const std::string &shard) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    ++m_loads[shard].open;
}

auto ShardChooser::recordEnded(const std::string &shard) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    auto &load = m_loads[shard];
    load.open -= load.open > 0 ? 1 : 0;
    load.openAtHint = std::min(load.openAtHint, load.open);
}

} // namespace nutmegplank::request::execution
