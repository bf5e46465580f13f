#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "version/state/internal/replay.h"
#include "version/state/internal/snapshotassembler.h"

namespace nutmegplank::version::state {

//! Outcome of replaying one record, with the record's id.
struct AppliedRecord
{
    std::string id;
    ApplyResult outcome;
};

//! Tracks the read position in the log, and restores the state from a snapshot when the log has
//! expired records that this process has not read. Does no I/O.
class Follower
{
public:
    //! Offset of the next read.
    auto position() const -> std::uint64_t { return m_position; }
    //! Whether records are held back until a complete snapshot has been read.
    auto recovering() const -> bool { return m_recovering; }
    //! Processes the records of a read from position(); \a next is the offset of the next read as
    //! given by the log. Returns the records that were applied.
    auto processRecords(std::vector<Record> records, std::uint64_t next)
        -> std::vector<AppliedRecord>;
    //! Called when the log has expired all records before \a firstRetained.
    auto startRecovery(std::uint64_t firstRetained) -> void;
    auto replay() const -> const Replay & { return m_replay; }

private:
    auto recover(Record record, std::vector<AppliedRecord> &appliedRecords) -> void;
    auto applyIfNew(const Record &record, std::vector<AppliedRecord> &appliedRecords) -> void;

    Replay m_replay;
    SnapshotAssembler m_assembler;
    std::vector<Record> m_unappliedRecords; //!< Read during recovery; not applied yet.
    std::uint64_t m_position = 0;
    std::uint64_t m_firstRetained = 0;
    bool m_recovering = false;
};

} // namespace nutmegplank::version::state
