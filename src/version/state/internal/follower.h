#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "version/state/internal/replay.h"
#include "version/state/internal/snapshotassembler.h"

namespace nutmegplank::version::state {

//! A record that was applied, with its id.
struct FollowedRecord
{
    std::string id;
    Applied applied;
};

//! Decides where to read on, and brings the state back from a snapshot when the log no longer keeps
//! all that this process has not read. Does no I/O.
class Follower
{
public:
    //! Where to read on.
    auto position() const -> std::uint64_t { return m_position; }
    //! Whether the state waits for a snapshot.
    auto recovering() const -> bool { return m_recovering; }
    //! Takes what a read from position() gave; \a next is where the log says to read on.
    auto take(std::vector<Record> records, std::uint64_t next) -> std::vector<FollowedRecord>;
    //! The log has dropped what stands before \a first.
    auto expire(std::uint64_t first) -> void;
    auto replay() const -> const Replay & { return m_replay; }

private:
    auto recover(Record record, std::vector<FollowedRecord> &followed) -> void;
    auto applyOne(const Record &record, std::vector<FollowedRecord> &followed) -> void;

    Replay m_replay;
    SnapshotAssembler m_assembler;
    std::vector<Record> m_waiting; //!< Read while recovering, not applied.
    std::uint64_t m_position = 0;
    std::uint64_t m_firstKept = 0;
    bool m_recovering = false;
};

} // namespace nutmegplank::version::state
