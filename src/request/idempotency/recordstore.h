#pragma once

#include <functional>
#include <string>
#include <unordered_map>

#include "base/timepoint.h"
#include "connection/link/link.pb.h"

namespace nutmegplank::request::idempotency {

//! Unique name of the record of \a key in \a workspace. The length prefix keeps it unambiguous for
//! any content of the two.
auto recordName(const std::string &workspace, const std::string &key) -> std::string;

struct StoreLimits
{
    base::Duration retention = std::chrono::minutes(10); //!< For finished requests.
    std::size_t maxBytes = std::size_t(32) << 20;        //!< Total size of all records.
    //! The body of a longer answer is not stored, so that the answer cannot be replayed.
    std::size_t maxBodyBytes = std::size_t(256) << 10;
};

//! State of the process and the cluster that the store needs.
struct StoreContext
{
    bool canConfirmAbsence = false; //!< This gateway can confirm that no such record exists.
    //! Whether the gateway that runs the request of a record is still alive.
    std::function<bool(const std::string &owner)> isOwnerAlive;
};

//! Records of the keys of which this gateway is a replica. Does no I/O; not thread-safe.
class RecordStore
{
public:
    explicit RecordStore(StoreLimits limits);

    //! Creates, updates or reads one record. Updates are accepted only from the record's owner.
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
    base::TimePoint m_expiryCheckedAt {};
};

} // namespace nutmegplank::request::idempotency
