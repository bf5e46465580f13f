#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>
#include <unordered_map>

#include <absl/status/status.h>
#include <boost/json/array.hpp>

namespace nutmegplank::version::state {

//! Ids of the newest records and the offsets at which they took effect. Part of the state, so that
//! a process that starts from a snapshot treats the same records as duplicates.
class RecentIds
{
public:
    //! Offset at which a record took effect and whether it was accepted.
    struct Entry
    {
        std::uint64_t idHash = 0;
        std::uint64_t offset = 0;
        bool accepted = false;
    };

    explicit RecentIds(std::size_t limit)
        : m_limit(limit)
    { }

    auto find(std::string_view id) const -> std::optional<Entry>;
    auto add(std::string_view id, std::uint64_t offset, bool accepted) -> void;
    auto toJson() const -> boost::json::array;
    auto restore(const boost::json::value &value) -> absl::Status;

private:
    auto add(Entry entry) -> void;

    std::size_t m_limit;
    std::deque<Entry> m_oldestFirst;
    std::unordered_map<std::uint64_t, Entry> m_entriesByHash;
};

} // namespace nutmegplank::version::state
