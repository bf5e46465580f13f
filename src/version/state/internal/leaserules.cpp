#include "base/text.h"
#include "version/state/internal/recordreader.h"
#include "version/state/internal/recordrules.h"

namespace nutmegplank::version::state {

namespace {

auto lastRenewalOffsetOf(const LogState &state, const std::string &scope) -> std::uint64_t
{
    const auto found = state.leases.find(scope);
    return found == state.leases.end() ? 0 : found->second.lastRenewalOffset;
}

} // namespace

auto checkFencing(const LogState &state, const std::string &scope, std::uint64_t fencingNumber)
    -> absl::Status
{
    const auto found = state.leases.find(scope);
    if (found == state.leases.end() || found->second.holder.empty())
        return absl::FailedPreconditionError(
            base::concat("nobody holds the lease of scope ", scope));
    if (found->second.fencingNumber != fencingNumber)
        return absl::FailedPreconditionError(
            base::concat("fencing number ", fencingNumber, " of scope ", scope, " is old; ",
                         found->second.holder, " holds ", found->second.fencingNumber));
    return absl::OkStatus();
}

auto applyLeaseClaim(LogState &state, const Record &record) -> absl::Status
{
    auto reader = recordReader(record.body);
    auto lease = LeaseState();
    lease.scope = reader.string("scope");
    lease.holder = reader.string("holder");
    lease.term = std::chrono::milliseconds(readNumber(reader, "term_ms"));
    const auto supersedes = readNumber(reader, "supersedes");
    const auto status = reader.finish();
    if (!status.ok())
        return status;
    const auto lastRenewal = lastRenewalOffsetOf(state, lease.scope);
    if (supersedes != lastRenewal)
        return absl::AbortedError(base::concat("claim of scope ", lease.scope, " supersedes ",
                                               supersedes, ", but ", lastRenewal,
                                               " is the newest"));
    lease.fencingNumber = record.offset;
    lease.lastRenewalOffset = record.offset;
    lease.lastRenewalId = record.id;
    state.leases[lease.scope] = lease;
    return absl::OkStatus();
}

auto applyLeaseRenewal(LogState &state, const Record &record) -> absl::Status
{
    auto reader = recordReader(record.body);
    const auto scope = reader.string("scope");
    const auto fencingNumber = readNumber(reader, "fencing_number");
    auto status = reader.finish();
    if (status.ok())
        status = checkFencing(state, scope, fencingNumber);
    if (!status.ok())
        return status;
    auto &lease = state.leases[scope];
    lease.lastRenewalOffset = record.offset;
    lease.lastRenewalId = record.id;
    return absl::OkStatus();
}

auto applyLeaseRelease(LogState &state, const Record &record) -> absl::Status
{
    const auto status = applyLeaseRenewal(state, record);
    if (!status.ok())
        return status;
    auto reader = recordReader(record.body);
    state.leases[reader.string("scope")].holder.clear();
    return absl::OkStatus();
}

} // namespace nutmegplank::version::state
