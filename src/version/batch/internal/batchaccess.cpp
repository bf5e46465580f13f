#include "version/batch/batchaccess.h"

#include <algorithm>

namespace nutmegplank::version::batch {

namespace {

using routing::Owner;
using routing::OwnerKind;

auto accessTo(const Batch *batch) -> Access
{
    if (batch == nullptr)
        return {};
    return { AccessOutcome::Found, batch };
}

//! Without workspaces in the configuration all callers are alike, and so are all batches.
auto findForAnybody(const BatchLog &log, const std::string &id) -> Access
{
    const auto batches = log.findById(id);
    if (batches.size() > 1)
        return { AccessOutcome::Ambiguous };
    return accessTo(batches.empty() ? nullptr : batches.front());
}

auto isSameItem(const Item &left, const Item &right) -> bool
{
    return left.id == right.id && left.path == right.path && left.body == right.body
        && left.group == right.group;
}

} // namespace

auto findForCaller(const BatchLog &log, const Owner &caller, const std::string &id) -> Access
{
    if (caller.kind == OwnerKind::Shared)
        return findForAnybody(log, id);
    const auto *own = log.find(makeBatchKey(caller.workspace, id));
    return accessTo(own != nullptr ? own : log.find(id));
}

auto mayBeSuperseded(const Access &access, const Owner &caller) -> bool
{
    return access.outcome == AccessOutcome::Found && caller.kind == OwnerKind::Workspace
        && access.batch->head.owner != caller;
}

auto isAccepted(const BatchLog &log, const Owner &caller, const std::string &id) -> bool
{
    if (caller.kind == OwnerKind::Shared)
        return !log.findById(id).empty();
    return log.find(makeBatchKey(caller.workspace, id)) != nullptr;
}

auto findAcceptedUnowned(const BatchLog &log, const Owner &caller, const std::string &id)
    -> const Batch *
{
    const auto *batch = caller.kind == OwnerKind::Workspace ? log.find(id) : nullptr;
    return batch != nullptr && batch->head.owner.kind == OwnerKind::Shared ? batch : nullptr;
}

auto haveSameItems(const Submission &left, const Submission &right) -> bool
{
    return std::ranges::equal(left.items, right.items, isSameItem);
}

} // namespace nutmegplank::version::batch
