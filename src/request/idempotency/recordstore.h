#pragma once

#include <functional>
#include <string>
#include <unordered_map>

#include "base/timepoint.h"
#include "connection/link/link.pb.h"

namespace nutmegplank::request::idempotency {

//! Name of a record: workspace and key, told apart whatever they hold.
auto recordName(const std::string &workspace, const std::string &key) -> std::string;

struct StoreLimits
{
    base::Duration memory = std::chrono::minutes(10); //!< Of finished requests.
    std::size_t bytes = std::size_t(32) << 20;        //!< Of all records together.
    std::size_t bodyBytes = std::size_t(256) << 10;   //!< Longer answers cannot be replayed.
};

//! What the store asks about the world.
struct StoreContext
{
    bool vouches = false; //!< This process can say that a record does not exist.
    //! Whether the process that runs a record's request is still alive.
    std::function<bool(const std::string &owner)> isOwnerAlive;
};

//! Records of the keys whose home this gateway is. Does no I/O; not safe for several threads.
class RecordStore
{
public:
    explicit RecordStore(StoreLimits limits);

    //! Creates, updates or reads one record. An update counts only from the record's owner.
    auto apply(const wire::IdempotencyRequest &request, const StoreContext &context,
               base::TimePoint now) -> wire::IdempotencyAnswer;

    auto size() const -> std::size_t { return m_records.size(); }

private:
    struct Entry
    {
        wire::IdempotencyRecord record;
        base::TimePoint changedAt {};
    };

    auto claim(const std::string &name, const wire::IdempotencyRequest &request,
               const StoreContext &context, base::TimePoint now) -> wire::IdempotencyAnswer;
    auto update(const std::string &name, const wire::IdempotencyRecord &record, base::TimePoint now)
        -> void;
    auto erase(const std::string &name) -> void;
    auto dropExpired(base::TimePoint now) -> void;

    StoreLimits m_limits;
    std::unordered_map<std::string, Entry> m_records;
    std::size_t m_bytes = 0;
    base::TimePoint m_swept {};
};

} // namespace nutmegplank::request::idempotency
