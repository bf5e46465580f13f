#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <vector>

#include <boost/json/object.hpp>

//! Records of the stand-in for the platform's log service.
namespace nutmegplank::standins::log {

//! What one read gives.
struct ReadResult
{
    boost::json::array records;
    std::uint64_t next = 0;
    std::uint64_t first = 0;
    bool expired = false;
};

//! An append-only log in memory that keeps the newest records only. Safe for several threads.
class LogStore
{
public:
    auto append(const std::string &id, boost::json::object body) -> std::uint64_t;
    auto read(std::uint64_t from, std::size_t most) const -> ReadResult;
    //! Keeps at most \a records; 0 keeps all.
    auto setRetention(std::size_t records) -> void;
    auto nextOffset() const -> std::uint64_t;
    auto firstOffset() const -> std::uint64_t;

private:
    auto trim() -> void;

    mutable std::mutex m_mutex;
    std::deque<boost::json::object> m_records;
    std::uint64_t m_first = 1;
    std::size_t m_retention = 0;
};

} // namespace nutmegplank::standins::log
