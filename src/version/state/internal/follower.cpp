#include "version/state/internal/follower.h"

#include <boost/json.hpp>

#include "base/text.h"
#include "process/logging/logging.h"
#include "version/state/records.h"

namespace nutmegplank::version::state {

namespace {

auto isSnapshotChunk(const Record &record) -> bool
{
    const auto *kind = record.body.if_contains("kind");
    return kind != nullptr && kind->is_string()
        && std::string_view(kind->as_string())
        == base::nameOf(RECORD_KIND_NAMES, RecordKind::SnapshotChunk);
}

} // namespace

auto Follower::processRecords(std::vector<Record> records, std::uint64_t next)
    -> std::vector<AppliedRecord>
{
    auto appliedRecords = std::vector<AppliedRecord>();
    for (auto &record : records) {
        if (record.offset < m_position)
            continue;
        m_position = record.offset + 1;
        if (m_recovering)
            recover(std::move(record), appliedRecords);
        else
            applyIfNew(record, appliedRecords);
    }
    m_position = std::max(m_position, next);
    return appliedRecords;
}

auto Follower::startRecovery(std::uint64_t firstRetained) -> void
{
    if (firstRetained <= m_position)
        return;
    m_recovering = true;
    m_position = firstRetained;
    m_firstRetained = firstRetained;
    m_unappliedRecords.clear();
    m_assembler = SnapshotAssembler();
}

auto Follower::recover(Record record, std::vector<AppliedRecord> &appliedRecords) -> void
{
    const auto snapshot = isSnapshotChunk(record) ? m_assembler.add(record.body) : std::nullopt;
    m_unappliedRecords.push_back(std::move(record));
    // Restoring a snapshot taken before the first retained record would leave a gap in the records.
    if (!snapshot || snapshot->atOffset < m_firstRetained)
        return;
    const auto status = m_replay.restore(snapshot->text);
    if (!status.ok()) {
        process::logging::error(
            "log.snapshot_unusable",
            { { "problem", boost::json::value(std::string(status.message())) } });
        return;
    }
    m_recovering = false;
    const auto unapplied = std::exchange(m_unappliedRecords, {});
    for (const auto &unappliedRecord : unapplied)
        applyIfNew(unappliedRecord, appliedRecords);
}

auto Follower::applyIfNew(const Record &record, std::vector<AppliedRecord> &appliedRecords) -> void
{
    if (record.offset < m_replay.nextOffset())
        return;
    appliedRecords.push_back(AppliedRecord { record.id, m_replay.apply(record) });
}

} // namespace nutmegplank::version::state
