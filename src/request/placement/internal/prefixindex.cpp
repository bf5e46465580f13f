#include "request/placement/prefixindex.h"

namespace nutmegplank::request::placement {

namespace {

constexpr auto CONFIRMED_PROBABILITY = 1.0;
constexpr auto SENT_PROBABILITY = 0.6;
//! Servers publish events late: an eviction this soon after a use may precede that use and is
//! ignored.
constexpr auto MAX_EVENT_DELAY = std::chrono::seconds(2);
//! Time in which the probability halves for a prefix that was only sent.
constexpr auto SENT_HALF_LIFE = std::chrono::seconds(30);

} // namespace

auto PrefixIndex::recordUse(Cache &cache, const std::string &prefixKey, bool confirmed,
                            base::TimePoint now) -> void
{
    const auto found = cache.entries.find(prefixKey);
    if (found != cache.entries.end()) {
        found->second->confirmed = found->second->confirmed || confirmed;
        found->second->lastUsed = now;
        cache.byLastUse.splice(cache.byLastUse.begin(), cache.byLastUse, found->second);
        return;
    }
    cache.byLastUse.push_front(Entry { prefixKey, confirmed, now });
    cache.entries.emplace(prefixKey, cache.byLastUse.begin());
    if (cache.byLastUse.size() <= m_maxPrefixes)
        return;
    cache.entries.erase(cache.byLastUse.back().prefixKey);
    cache.byLastUse.pop_back();
}

auto PrefixIndex::onSent(const std::string &server, const std::string &prefixKey,
                         base::TimePoint now) -> void
{
    if (!prefixKey.empty())
        recordUse(m_caches[server], prefixKey, false, now);
}

auto PrefixIndex::onEvent(const std::string &server, const CacheEvent &event, base::TimePoint now)
    -> void
{
    auto &cache = m_caches[server];
    const auto hasGap = cache.nextSequence != 0 && event.sequence > cache.nextSequence;
    if (hasGap) {
        // The lost events may include evictions, so no entry is certain any more.
        for (auto &entry : cache.byLastUse)
            entry.confirmed = false;
    }
    cache.nextSequence = std::max(cache.nextSequence, event.sequence + 1);
    if (event.stored)
        return recordUse(cache, event.prefixKey, true, now);
    const auto found = cache.entries.find(event.prefixKey);
    if (found == cache.entries.end() || now - found->second->lastUsed < MAX_EVENT_DELAY)
        return;
    cache.byLastUse.erase(found->second);
    cache.entries.erase(found);
}

auto PrefixIndex::forget(const std::string &server) -> void
{
    m_caches.erase(server);
}

auto PrefixIndex::probability(const std::string &server, const std::string &prefixKey,
                              base::TimePoint now) const -> double
{
    const auto cache = m_caches.find(server);
    if (cache == m_caches.end())
        return 0;
    const auto found = cache->second.entries.find(prefixKey);
    if (found == cache->second.entries.end())
        return 0;
    if (found->second->confirmed)
        return CONFIRMED_PROBABILITY;
    const auto age = base::toSeconds(now - found->second->lastUsed);
    return SENT_PROBABILITY * std::exp2(-age / base::toSeconds(SENT_HALF_LIFE));
}

} // namespace nutmegplank::request::placement
