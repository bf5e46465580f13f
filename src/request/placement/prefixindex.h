#pragma once

#include <list>
#include <string>
#include <unordered_map>

#include "base/timepoint.h"

namespace nutmegplank::request::placement {

//! Notice of a server that it has stored or evicted a prompt prefix.
struct CacheEvent
{
    std::uint64_t sequence = 0; //!< Consecutive per server; gaps mean lost events.
    bool stored = false;        //!< False when evicted.
    std::string prefixKey;
};

//! Estimates which prompt prefixes each backend server has cached. Cache events of a server arrive
//! late and with gaps, so prefixes that were sent to it count too, with a lower probability that
//! decreases over time. Not thread-safe.
class PrefixIndex
{
public:
    //! Keeps the \a maxPrefixes latest used prefixes of each server.
    explicit PrefixIndex(std::size_t maxPrefixes)
        : m_maxPrefixes(maxPrefixes)
    { }

    auto onSent(const std::string &server, const std::string &prefixKey, base::TimePoint now)
        -> void;
    auto onEvent(const std::string &server, const CacheEvent &event, base::TimePoint now) -> void;
    //! Call when the server has restarted with an empty cache.
    auto forget(const std::string &server) -> void;
    //! Probability from 0 to 1 that the server has the prefix cached.
    auto probability(const std::string &server, const std::string &prefixKey,
                     base::TimePoint now) const -> double;

private:
    struct Entry
    {
        std::string prefixKey;
        bool confirmed = false; //!< By an event of the server; otherwise only sent to it.
        base::TimePoint lastUsed {};
    };
    using Entries = std::list<Entry>;
    struct Cache
    {
        Entries byLastUse; //!< Most recently used first.
        std::unordered_map<std::string, Entries::iterator> entries;
        std::uint64_t nextSequence = 0; //!< 0 before the first event.
    };

    auto recordUse(Cache &cache, const std::string &prefixKey, bool confirmed, base::TimePoint now)
        -> void;

    std::size_t m_maxPrefixes;
    std::unordered_map<std::string, Cache> m_caches;
};

} // namespace nutmegplank::request::placement
