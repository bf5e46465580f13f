#pragma once

#include "version/batch/batchlog.h"

//! Which batch a caller means by an id. Workspaces choose ids independently of each other, and the
//! configuration may have gained or lost its workspaces since a batch was accepted.
namespace nutmegplank::version::batch {

enum class AccessOutcome {
    Found,
    //! Nothing in the log as it was read so far.
    NotFound,
    //! Several workspaces have a batch of the id, and the configuration tells callers apart no
    //! more.
    Ambiguous,
};

struct Access
{
    AccessOutcome outcome = AccessOutcome::NotFound;
    const Batch *batch = nullptr; //!< Set for AccessOutcome::Found only.
};

//! The batch that \a caller may read and end under \a id: its own, else one that belongs to no
//! workspace, which everybody may use who knows its id.
auto findForCaller(const BatchLog &log, const routing::Owner &caller, const std::string &id)
    -> Access;

//! Whether the batch that findForCaller() found could yield to another one which the log already
//! holds and this process has not read yet.
auto mayBeSuperseded(const Access &access, const routing::Owner &caller) -> bool;

//! Whether a submission of \a caller under \a id repeats an accepted one and must not be kept
//! again.
auto isAccepted(const BatchLog &log, const routing::Owner &caller, const std::string &id) -> bool;

//! The batch that a submission of \a caller repeats if the content is the same: it was accepted
//! before the configuration had workspaces. Null if there is none.
auto findAcceptedUnowned(const BatchLog &log, const routing::Owner &caller, const std::string &id)
    -> const Batch *;

//! Whether two submissions have the same items.
auto haveSameItems(const Submission &left, const Submission &right) -> bool;

} // namespace nutmegplank::version::batch
