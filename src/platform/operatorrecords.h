#pragma once

#include <optional>
#include <string>

#include <absl/status/statusor.h>

#include "version/journal/ijournal.h"
#include "version/routing/routingtable.h"

//! Decodes the records that operators and trainers write to the store.
namespace nutmegplank::platform {

constexpr auto OPERATOR_TOPIC = "keyed.op";

//! A weight version of a model that a trainer has announced.
struct AnnouncedWeightVersion
{
    std::string model;
    std::uint64_t version = 0;
};

enum class OperatorRecordKind {
    Configuration,
    ZoneEvacuation, //!< The key ends with the evacuated zone; an empty value ends the evacuation.
    WeightVersion,
    Other,
};

auto kindOfOperatorKey(const std::string &key) -> OperatorRecordKind;
//! The zone in a key of kind ZoneEvacuation.
auto evacuatedZoneFromKey(const std::string &key) -> std::string;

//! On error the caller keeps its current configuration; the error names the fault and the record's
//! offset.
auto readConfiguration(const version::journal::KeyedRecord &record)
    -> absl::StatusOr<version::routing::RoutingTablePtr>;
//! Returns std::nullopt if the record is malformed.
auto readAnnouncedWeightVersion(const version::journal::KeyedRecord &record)
    -> std::optional<AnnouncedWeightVersion>;

} // namespace nutmegplank::platform
