#pragma once

#include <cstdint>
#include <string>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "version/state/internal/recentids.h"
#include "version/state/internal/recordrules.h"
#include "version/state/iplatformlog.h"

namespace nutmegplank::version::state {

//! What became of a record.
struct Applied
{
    std::uint64_t offset = 0; //!< Where it counts; of its first copy when it is a duplicate.
    absl::Status status;      //!< Why it was rejected.
    bool duplicate = false;
};

//! Deterministic replay: the same records give the same state in every process, started from the
//! beginning or from a snapshot. Knows no clock and does no I/O.
class Replay
{
public:
    Replay();

    //! Applies the record if its offset was not applied before.
    auto apply(const Record &record) -> Applied;
    //! A copy of the state that stays as it is.
    auto publish() const -> LogStatePtr;
    auto nextOffset() const -> std::uint64_t { return m_state.nextOffset; }
    //! The whole state as text.
    auto serialize() const -> std::string;
    //! Takes over a serialized state unless it is older than this one.
    auto restore(const std::string &text) -> absl::Status;

private:
    auto applyKind(const Record &record) -> absl::Status;

    LogState m_state;
    RecentIds m_recentRenewals;
    RecentIds m_recentOthers;
};

} // namespace nutmegplank::version::state
