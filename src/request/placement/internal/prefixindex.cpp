#include "request/placement/prefixindex.h"

namespace nutmegplank::request::placement {

namespace {

constexpr auto TOLD_CHANCE = 1.0;
constexpr auto SENT_CHANCE = 0.6;
//! An eviction that was published late does not undo a use that came after it.
constexpr auto EVENT_DELAY = std::chrono::seconds(2);
//! Time in which a prefix that was only sent loses half of its certainty.
constexpr auto HALF_LIFE = std::chrono::seconds(30);

} // namespace

auto PrefixIndex::touch(Cache &cache, const std::string &prefixKey, bool told, base::TimePoint now)
    -> void
{
    const auto found = cache.entries.find(prefixKey);
    if (found != cache.entries.end()) {
        found->second->told = found->second->told || told;
        found->second->touched = now;
        cache.byUse.splice(cache.byUse.begin(), cache.byUse, found->second);
        return;
    }
    cache.byUse.push_front(Entry { prefixKey, told, now });
    cache.entries.emplace(prefixKey, cache.byUse.begin());
    if (cache.byUse.size() <= m_bound)
        return;
    cache.entries.erase(cache.byUse.back().prefixKey);
    cache.byUse.pop_back();
}

auto PrefixIndex::onSent(const std::string &server, const std::string &prefixKey,
                         base::TimePoint now) -> void
{
    if (!prefixKey.empty())
        touch(m_caches[server], prefixKey, false, now);
}

auto PrefixIndex::onEvent(const std::string &server, const CacheEvent &event, base::TimePoint now)
    -> void
{
    auto &cache = m_caches[server];
    const auto hasGap = cache.nextSequence != 0 && event.sequence > cache.nextSequence;
    if (hasGap) {
        // An eviction may be among the lost events: nothing is sure any more.
        for (auto &entry : cache.byUse)
            entry.told = false;
    }
    cache.nextSequence = std::max(cache.nextSequence, event.sequence + 1);
    if (event.stored)
        return touch(cache, event.prefixKey, true, now);
    const auto found = cache.entries.find(event.prefixKey);
    if (found == cache.entries.end() || now - found->second->touched < EVENT_DELAY)
        return;
    cache.byUse.erase(found->second);
    cache.entries.erase(found);
}

auto PrefixIndex::forget(const std::string &server) -> void
{
    m_caches.erase(server);
}

auto PrefixIndex::chance(const std::string &server, const std::string &prefixKey,
                         base::TimePoint now) const -> double
{
    const auto cache = m_caches.find(server);
    if (cache == m_caches.end())
        return 0;
    const auto found = cache->second.entries.find(prefixKey);
    if (found == cache->second.entries.end())
        return 0;
    if (found->second->told)
        return TOLD_CHANCE;
    const auto age = base::toSeconds(now - found->second->touched);
    return SENT_CHANCE * std::exp2(-age / base::toSeconds(HALF_LIFE));
}

} // namespace nutmegplank::request::placement
