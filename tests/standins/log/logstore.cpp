#include "logstore.h"

#include <boost/json.hpp>

namespace nutmegplank::standins::log {

auto LogStore::append(const std::string &id, boost::json::object body) -> std::uint64_t
{
    const auto lock = std::lock_guard(m_mutex);
    const auto offset = m_first + m_records.size();
    m_records.push_back({ { "offset", offset }, { "id", id }, { "body", std::move(body) } });
    trim();
    return offset;
}

auto LogStore::read(std::uint64_t from, std::size_t most) const -> ReadResult
{
    const auto lock = std::lock_guard(m_mutex);
    auto result = ReadResult();
    result.first = m_first;
    result.next = std::max<std::uint64_t>(from, 1);
    result.expired = result.next < m_first;
    if (result.expired)
        return result;
    while (result.next < m_first + m_records.size() && result.records.size() < most) {
        result.records.emplace_back(m_records[result.next - m_first]);
        ++result.next;
    }
    return result;
}

auto LogStore::setRetention(std::size_t records) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    m_retention = records;
    trim();
}

auto LogStore::nextOffset() const -> std::uint64_t
{
    const auto lock = std::lock_guard(m_mutex);
    return m_first + m_records.size();
}

auto LogStore::firstOffset() const -> std::uint64_t
{
    const auto lock = std::lock_guard(m_mutex);
    return m_first;
}

auto LogStore::trim() -> void
{
    while (m_retention > 0 && m_records.size() > m_retention) {
        m_records.pop_front();
        ++m_first;
    }
}

} // namespace nutmegplank::standins::log
