#pragma once

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include "base/enumtable.h"
#include "base/jsonreader.h"
#include "version/state/iplatformlog.h"

//! Names and JSON representations used in records; docs/PROTOCOLS.md lists the fields of each kind.
namespace nutmegplank::version::state {

constexpr auto RECORD_KIND_NAMES = base::EnumTable<RecordKind, 10> { {
    { RecordKind::LeaseClaim, "lease_claim" },
    { RecordKind::LeaseRenewal, "lease_renewal" },
    { RecordKind::LeaseRelease, "lease_release" },
    { RecordKind::ConfigurationChange, "configuration_change" },
    { RecordKind::Weights, "weights" },
    { RecordKind::Plan, "plan" },
    { RecordKind::OrderIntent, "order_intent" },
    { RecordKind::OrderOutcome, "order_outcome" },
    { RecordKind::UsageWindow, "usage_window" },
    { RecordKind::SnapshotChunk, "snapshot_chunk" },
} };

constexpr auto ORDER_KIND_NAMES = base::EnumTable<OrderKind, 2> { {
    { OrderKind::Create, "create" },
    { OrderKind::Release, "release" },
} };

//! Lease scope whose holder writes plans.
constexpr auto PLAN_SCOPE = "plan";
//! Lease scope whose holder closes usage windows.
constexpr auto USAGE_SCOPE = "usage";
//! Lease scope whose holder writes snapshots.
constexpr auto SNAPSHOT_SCOPE = "snapshot";

auto toJson(const UsageFigure &figure) -> boost::json::object;
auto toJson(const std::vector<UsageFigure> &figures) -> boost::json::array;
auto toJson(const UsageMark &mark) -> boost::json::object;
auto toJson(const std::vector<UsageMark> &marks) -> boost::json::array;
auto toJson(const PlanTarget &target) -> boost::json::object;
auto toJson(const std::vector<PlanTarget> &targets) -> boost::json::array;

// Errors are recorded in the reader and returned by its finish().
auto readUsageFigures(base::ObjectReader &reader, std::string_view field)
    -> std::vector<UsageFigure>;
auto readUsageMarks(base::ObjectReader &reader, std::string_view field) -> std::vector<UsageMark>;
auto readPlanTargets(base::ObjectReader &reader, std::string_view field) -> std::vector<PlanTarget>;

} // namespace nutmegplank::version::state
