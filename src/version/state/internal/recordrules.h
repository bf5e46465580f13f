#pragma once

#include <cstdint>
#include <string>

#include <absl/status/status.h>
#include <boost/json/object.hpp>

#include "version/state/iplatformlog.h"

//! Applies each kind of record to the state. All rules are deterministic and use no clock. An error
//! means that the record changed nothing, except for the audit entry of a conflicting change.
namespace nutmegplank::version::state {

//! One record as read from the log.
struct Record
{
    std::uint64_t offset = 0;
    std::string id;
    boost::json::object body;
};

// Leases
auto applyLeaseClaim(LogState &state, const Record &record) -> absl::Status;
auto applyLeaseRenewal(LogState &state, const Record &record) -> absl::Status;
auto applyLeaseRelease(LogState &state, const Record &record) -> absl::Status;
//! Checks that \a fencingNumber is that of the current holder of \a scope; the error names the
//! holder.
auto checkFencing(const LogState &state, const std::string &scope, std::uint64_t fencingNumber)
    -> absl::Status;

// Configuration
auto applyConfigurationChange(LogState &state, const Record &record) -> absl::Status;

// Weights, plan, orders
auto applyWeights(LogState &state, const Record &record) -> absl::Status;
auto applyPlan(LogState &state, const Record &record) -> absl::Status;
auto applyOrderIntent(LogState &state, const Record &record) -> absl::Status;
auto applyOrderOutcome(LogState &state, const Record &record) -> absl::Status;

// Usage
auto applyUsageWindow(LogState &state, const Record &record) -> absl::Status;

} // namespace nutmegplank::version::state
