#include "version/state/internal/follower.h"

#include <boost/json.hpp>

#include "base/text.h"
#include "process/logging/logging.h"
#include "version/state/records.h"

namespace nutmegplank::version::state {

namespace {

auto isChunk(const Record &record) -> bool
{
    const auto *kind = record.body.if_contains("kind");
    return kind != nullptr && kind->is_string()
        && std::string_view(kind->as_string())
        == base::nameOf(RECORD_KIND_NAMES, RecordKind::SnapshotChunk);
}

} // namespace

auto Follower::take(std::vector<Record> records, std::uint64_t next) -> std::vector<FollowedRecord>
{
    auto followed = std::vector<FollowedRecord>();
    for (auto &record : records) {
        if (record.offset < m_position)
            continue;
        m_position = record.offset + 1;
        if (m_recovering)
            recover(std::move(record), followed);
        else
            applyOne(record, followed);
    }
    m_position = std::max(m_position, next);
    return followed;
}

auto Follower::expire(std::uint64_t first) -> void
{
    if (first <= m_position)
        return;
    m_recovering = true;
    m_position = first;
    m_firstKept = first;
    m_waiting.clear();
    m_assembler = SnapshotAssembler();
}

auto Follower::recover(Record record, std::vector<FollowedRecord> &followed) -> void
{
    const auto snapshot = isChunk(record) ? m_assembler.add(record.body) : std::nullopt;
    m_waiting.push_back(std::move(record));
    // A snapshot from before the first kept record would leave a gap behind it.
    if (!snapshot || snapshot->atOffset < m_firstKept)
        return;
    const auto status = m_replay.restore(snapshot->text);
    if (!status.ok()) {
        process::logging::error(
            "log.snapshot_unusable",
            { { "problem", boost::json::value(std::string(status.message())) } });
        return;
    }
    m_recovering = false;
    const auto waiting = std::exchange(m_waiting, {});
    for (const auto &kept : waiting)
        applyOne(kept, followed);
}

auto Follower::applyOne(const Record &record, std::vector<FollowedRecord> &followed) -> void
{
    if (record.offset < m_replay.nextOffset())
        return;
    followed.push_back(FollowedRecord { record.id, m_replay.apply(record) });
}

} // namespace nutmegplank::version::state
