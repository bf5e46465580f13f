#pragma once

#include <cstdint>
#include <string>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "version/state/internal/recentids.h"
#include "version/state/internal/recordrules.h"
#include "version/state/iplatformlog.h"

namespace nutmegplank::version::state {

//! Result of applying a record.
struct ApplyResult
{
    std::uint64_t offset =
        0; //!< Offset at which it took effect; for a duplicate, that of the first copy.
    absl::Status status; //!< OK, or why the record was rejected.
    bool duplicate = false;
};

//! Deterministic replay: the same records give the same state in every process, whether it started
//! from the first record or from a snapshot. Uses no clock and does no I/O.
class Replay
{
public:
    Replay();

    //! Applies the record unless its offset has already been applied.
    auto apply(const Record &record) -> ApplyResult;
    //! An immutable copy of the state.
    auto copyState() const -> LogStatePtr;
    auto nextOffset() const -> std::uint64_t { return m_state.nextOffset; }
    //! The whole state, with the ids of recent records, as JSON text.
    auto serialize() const -> std::string;
    //! Replaces the state by a serialized one; fails if that is older or malformed.
    auto restore(const std::string &text) -> absl::Status;

private:
    auto applyKind(const Record &record) -> absl::Status;

    LogState m_state;
    RecentIds m_recentRenewals;
    RecentIds m_recentOthers;
};

} // namespace nutmegplank::version::state
