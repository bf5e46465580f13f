#include "version/state/internal/recentids.h"

#include <boost/json.hpp>

#include "base/hash.h"

namespace nutmegplank::version::state {

auto RecentIds::find(std::string_view id) const -> std::optional<Entry>
{
    const auto found = m_entriesByHash.find(base::hash64(id));
    if (found == m_entriesByHash.end())
        return std::nullopt;
    return found->second;
}

auto RecentIds::add(std::string_view id, std::uint64_t offset, bool accepted) -> void
{
    add(Entry { base::hash64(id), offset, accepted });
}

auto RecentIds::add(Entry entry) -> void
{
    m_entriesByHash[entry.idHash] = entry;
    m_oldestFirst.push_back(entry);
    if (m_oldestFirst.size() <= m_limit)
        return;
    m_entriesByHash.erase(m_oldestFirst.front().idHash);
    m_oldestFirst.pop_front();
}

auto RecentIds::toJson() const -> boost::json::array
{
    auto array = boost::json::array();
    for (const auto &entry : m_oldestFirst) {
        array.emplace_back(entry.idHash);
        array.emplace_back(entry.offset);
        array.emplace_back(entry.accepted);
    }
    return array;
}

auto RecentIds::restore(const boost::json::value &value) -> absl::Status
{
    constexpr auto FIELDS = std::size_t(3);
    if (!value.is_array() || value.as_array().size() % FIELDS != 0)
        return absl::InvalidArgumentError("snapshot: recent ids must be an array of triples");
    const auto &array = value.as_array();
    m_oldestFirst.clear();
    m_entriesByHash.clear();
    for (auto index = std::size_t(0); index < array.size(); index += FIELDS) {
        auto error = boost::json::error_code();
        const auto hash = array[index].to_number<std::uint64_t>(error);
        const auto offset = error ? 0 : array[index + 1].to_number<std::uint64_t>(error);
        if (error || !array[index + 2].is_bool())
            return absl::InvalidArgumentError("snapshot: a recent id is malformed");
        add(Entry { hash, offset, array[index + 2].as_bool() });
    }
    return absl::OkStatus();
}

} // namespace nutmegplank::version::state
