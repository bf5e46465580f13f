#pragma once

#include <list>
#include <string>
#include <vector>

#include "base/timepoint.h"

namespace nutmegplank::standins {

//! One event of the cache as published.
struct CacheEvent
{
    std::uint64_t sequence = 0;
    bool stored = false;
    std::string prefixKey;
    base::TimePoint visibleFrom {};
};

//! How the cache and its events behave.
struct PrefixCacheOptions
{
    std::size_t size = 32;
    base::Duration delay = std::chrono::milliseconds(300); //!< Events come this late.
    std::uint64_t lostEvery = 10;                          //!< Every so many events one is lost.
};

//! A limited cache of prompt prefixes, least recently used out first, whose events come late and
//! with gaps.
class PrefixCache
{
public:
    explicit PrefixCache(PrefixCacheOptions options)
        : m_options(options)
    { }

    //! Whether the prefix was cached; it is afterwards.
    auto use(const std::string &prefixKey, base::TimePoint now) -> bool
    {
        const auto found = std::find(m_keys.begin(), m_keys.end(), prefixKey);
        if (found != m_keys.end()) {
            m_keys.splice(m_keys.begin(), m_keys, found);
            return true;
        }
        m_keys.push_front(prefixKey);
        publish(true, prefixKey, now);
        if (m_keys.size() > m_options.size) {
            publish(false, m_keys.back(), now);
            m_keys.pop_back();
        }
        return false;
    }
    auto clear() -> void
    {
        m_keys.clear();
        m_events.clear();
        m_next = 1;
    }
    //! Events from \a from on that are visible at \a now.
    auto events(std::uint64_t from, base::TimePoint now) const -> std::vector<CacheEvent>
    {
        auto visible = std::vector<CacheEvent>();
        for (const auto &event : m_events) {
            if (event.sequence >= from && event.visibleFrom <= now)
                visible.push_back(event);
        }
        return visible;
    }

private:
    auto publish(bool stored, const std::string &prefixKey, base::TimePoint now) -> void
    {
        constexpr auto KEPT_EVENTS = std::size_t(1000);
        const auto sequence = m_next++;
        if (m_options.lostEvery > 0 && sequence % m_options.lostEvery == 0)
            return;
        m_events.push_back({ sequence, stored, prefixKey, now + m_options.delay });
        if (m_events.size() > KEPT_EVENTS)
            m_events.pop_front();
    }

    PrefixCacheOptions m_options;
    std::list<std::string> m_keys; //!< Latest use first.
    std::list<CacheEvent> m_events;
    std::uint64_t m_next = 1;
};

} // namespace nutmegplank::standins
