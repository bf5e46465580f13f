#pragma once

#include <optional>
#include <string>

#include <absl/status/statusor.h>

#include "version/journal/ijournal.h"
#include "version/routing/routingtable.h"

//! What operators and trainers write into the store.
namespace nutmegplank::platform {

constexpr auto OPERATOR_TOPIC = "keyed.op";

//! A trainer has named a version of a model's weights.
struct NamedVersion
{
    std::string model;
    std::uint64_t version = 0;
};

enum class OperatorRecordKind {
    Configuration,
    ZoneOut, //!< The rest of the key is the zone; an empty value takes it back.
    WeightVersion,
    Other,
};

auto kindOfOperatorKey(const std::string &key) -> OperatorRecordKind;
//! The zone that a key of kind ZoneOut names.
auto zoneOfKey(const std::string &key) -> std::string;

//! The error says what is wrong with the record; the caller keeps the configuration it has.
auto readConfiguration(const version::journal::KeyedRecord &record)
    -> absl::StatusOr<version::routing::RoutingTablePtr>;
auto readNamedVersion(const version::journal::KeyedRecord &record) -> std::optional<NamedVersion>;

} // namespace nutmegplank::platform
