#include "request/idempotency/recordstore.h"

#include "base/text.h"

namespace nutmegplank::request::idempotency {

namespace {

constexpr auto SWEEP_PERIOD = std::chrono::seconds(1);
//! A request that still runs may do so for this long; its record must outlive it.
constexpr auto LONGEST_RUN = std::chrono::hours(1);
constexpr auto RECORD_OVERHEAD = std::size_t(512);

auto sizeOf(const wire::IdempotencyRecord &record) -> std::size_t
{
    return RECORD_OVERHEAD + record.ByteSizeLong();
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
        // The same claim sent twice is one claim.
        answer.set_created(isRunning && record.owner() == request.record().owner());
        if (isRunning && !context.isOwnerAlive(record.owner()))
            record.set_state(wire::RECORD_UNKNOWN);
        *answer.mutable_record() = record;
        return answer;
    }
    answer.set_too_young(!context.vouches);
    auto record = request.record();
    record.set_state(wire::RECORD_RUNNING);
    if (m_bytes + sizeOf(record) > m_limits.bytes)
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
    auto kept = record;
    if (kept.body().size() > m_limits.bodyBytes) {
        kept.clear_body();
        kept.set_state(wire::RECORD_UNKNOWN);
    }
    m_bytes -= sizeOf(found->second.record);
    m_bytes += sizeOf(kept);
    found->second = Entry { std::move(kept), now };
}

auto RecordStore::erase(const std::string &name) -> void
{
    const auto found = m_records.find(name);
    m_bytes -= sizeOf(found->second.record);
    m_records.erase(found);
}

auto RecordStore::dropExpired(base::TimePoint now) -> void
{
    if (now - m_swept < SWEEP_PERIOD)
        return;
    m_swept = now;
    auto expired = std::vector<std::string>();
    for (const auto &[name, entry] : m_records) {
        const auto isRunning = entry.record.state() == wire::RECORD_RUNNING;
        const auto life = m_limits.memory + (isRunning ? LONGEST_RUN : base::Duration(0));
        if (now - entry.changedAt > life)
            expired.push_back(name);
    }
    for (const auto &name : expired)
        erase(name);
}

} // namespace nutmegplank::request::idempotency
