#pragma once

#include <cstdint>
#include <string>

#include <absl/status/status.h>
#include <boost/json/object.hpp>

#include "version/state/iplatformlog.h"

//! What each kind of record does to the state. All rules are deterministic and know no clock; an
//! error means that the record changed nothing but, for lost races, the audit trail.
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
//! Whether \a fencingNumber is that of whoever holds \a scope; the error says who does.
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
