#pragma once

#include <list>
#include <string>
#include <unordered_map>

#include "base/timepoint.h"

namespace nutmegplank::request::placement {

//! What a server says about one prompt prefix.
struct CacheEvent
{
    std::uint64_t sequence = 0;
    bool stored = false; //!< Else evicted.
    std::string prefixKey;
};

//! Which prompt prefixes a backend server probably has cached. The server's own events come late
//! and with gaps, so what was sent to it counts as well, for a while and with less certainty. Not
//! safe for several threads.
class PrefixIndex
{
public:
    //! \a bound is the number of prefixes kept a server.
    explicit PrefixIndex(std::size_t bound)
        : m_bound(bound)
    { }

    auto onSent(const std::string &server, const std::string &prefixKey, base::TimePoint now)
        -> void;
    auto onEvent(const std::string &server, const CacheEvent &event, base::TimePoint now) -> void;
    //! The server restarted: its cache is empty.
    auto forget(const std::string &server) -> void;
    //! From 0 to 1.
    auto chance(const std::string &server, const std::string &prefixKey, base::TimePoint now) const
        -> double;

private:
    struct Entry
    {
        std::string prefixKey;
        bool told = false; //!< By the server; else only sent.
        base::TimePoint touched {};
    };
    using Entries = std::list<Entry>;
    struct Cache
    {
        Entries byUse; //!< Latest use first.
        std::unordered_map<std::string, Entries::iterator> entries;
        std::uint64_t nextSequence = 0; //!< 0 before the first event.
    };

    auto touch(Cache &cache, const std::string &prefixKey, bool told, base::TimePoint now) -> void;

    std::size_t m_bound;
    std::unordered_map<std::string, Cache> m_caches;
};

} // namespace nutmegplank::request::placement
