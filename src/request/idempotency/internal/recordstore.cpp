#include "request/idempotency/recordstore.h"

#include "base/text.h"

namespace nutmegplank::request::idempotency {

namespace {

constexpr auto EXPIRY_CHECK_PERIOD = std::chrono::seconds(1);
//! A request runs at most this long, and its record must outlive it.
constexpr auto MAX_RUN_TIME = std::chrono::hours(1);
//! Allowance for the memory of a record beyond its encoded size.
constexpr auto RECORD_OVERHEAD_BYTES = std::size_t(512);

auto sizeOf(const wire::IdempotencyRecord &record) -> std::size_t
{
    return RECORD_OVERHEAD_BYTES + record.ByteSizeLong();
}

} // namespace

auto recordName(const std::string &workspace, const std::string &key) -> std::string
{
    return base::concat(workspace.size(), ":", workspace, key);
}

RecordStore::RecordStore(StoreLimits limits)
    : m_limits(limits)
{ }

auto RecordStore::apply(const wire::IdempotencyRequest &request, const StoreContext &context,
                        base::TimePoint now) -> wire::IdempotencyAnswer
{
    dropExpired(now);
    const auto name = recordName(request.record().workspace(), request.record().key());
    auto answer = wire::IdempotencyAnswer();
    if (request.claim())
        answer = claim(name, request, context, now);
    else
        update(name, request.record(), now);
    answer.set_call_id(request.call_id());
    return answer;
}

auto RecordStore::claim(const std::string &name, const wire::IdempotencyRequest &request,
                        const StoreContext &context, base::TimePoint now) -> wire::IdempotencyAnswer
{
    auto answer = wire::IdempotencyAnswer();
    const auto found = m_records.find(name);
    if (found != m_records.end()) {
        auto &record = found->second.record;
        const auto isRunning = record.state() == wire::RECORD_RUNNING;
        // A claim that is delivered twice succeeds both times.
        answer.set_created(isRunning && record.owner() == request.record().owner());
        if (isRunning && !context.isOwnerAlive(record.owner()))
            record.set_state(wire::RECORD_UNKNOWN);
        *answer.mutable_record() = record;
        return answer;
    }
    // too_young on the wire: this replica cannot confirm that no record existed.
    answer.set_too_young(!context.canConfirmAbsence);
    auto record = request.record();
    record.set_state(wire::RECORD_RUNNING);
    if (m_bytes + sizeOf(record) > m_limits.maxBytes)
        return answer;
    m_bytes += sizeOf(record);
    m_records[name] = Entry { record, now };
    answer.set_created(true);
    *answer.mutable_record() = std::move(record);
    return answer;
}

auto RecordStore::update(const std::string &name, const wire::IdempotencyRecord &record,
                         base::TimePoint now) -> void
{
    const auto found = m_records.find(name);
    if (found == m_records.end() || found->second.record.owner() != record.owner())
        return;
    if (record.state() == wire::RECORD_ABSENT) {
        erase(name);
        return;
    }
    auto updated = record;
    if (updated.body().size() > m_limits.maxBodyBytes) {
        updated.clear_body();
        updated.set_state(wire::RECORD_UNKNOWN);
    }
    m_bytes -= sizeOf(found->second.record);
    m_bytes += sizeOf(updated);
    found->second = Entry { std::move(updated), now };
}

auto RecordStore::erase(const std::string &name) -> void
{
    const auto found = m_records.find(name);
    m_bytes -= sizeOf(found->second.record);
    m_records.erase(found);
}

auto RecordStore::dropExpired(base::TimePoint now) -> void
{
    if (now - m_expiryCheckedAt < EXPIRY_CHECK_PERIOD)
        return;
    m_expiryCheckedAt = now;
    auto expired = std::vector<std::string>();
    for (const auto &[name, entry] : m_records) {
        const auto isRunning = entry.record.state() == wire::RECORD_RUNNING;
        const auto lifetime = m_limits.retention + (isRunning ? MAX_RUN_TIME : base::Duration(0));
        if (now - entry.changedAt > lifetime)
            expired.push_back(name);
    }
    for (const auto &name : expired)
        erase(name);
}

} // namespace nutmegplank::request::idempotency
