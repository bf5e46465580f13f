#pragma once

#include <span>

#include <absl/status/statusor.h>
#include <boost/json/value.hpp>

#include "version/configuration/codec.h"

//! Changes of the configuration, in the form that the log stores.
namespace nutmegplank::version::configuration {

//! Adds or replaces one object, or removes it when \a value is null.
struct Change
{
    ObjectKind object = ObjectKind::Workspace;
    std::string name;         //!< The id for keys; empty for PresetInForce.
    boost::json::value value; //!< The complete object; for PresetInForce the preset's name.
};

auto toJson(const Change &change) -> boost::json::object;
auto toJson(std::span<const Change> changes) -> boost::json::array;

//! Parses an array of changes; error messages call it \a place.
auto parseChanges(const boost::json::value &value, std::string_view place)
    -> absl::StatusOr<std::vector<Change>>;

//! Returns the object with \a kind and \a name as JSON, or null when there is none.
auto objectJson(const Configuration &configuration, ObjectKind kind, const std::string &name)
    -> boost::json::value;

//! Returns a copy of \a base with all \a changes applied and its version set to \a version, or an
//! error if one of them is invalid. Deterministic, because each process applies the changes of the
//! log on its own.
auto applyChanges(const Configuration &base, std::span<const Change> changes, std::uint64_t version)
    -> absl::StatusOr<Configuration>;

//! Checks that every referenced object exists and that no two keys share a hash and no two routes
//! a path prefix.
auto checkReferences(const Configuration &configuration) -> absl::Status;

//! Rebuilds the fields that are derived from others, such as keysByHash.
auto rebuildIndexes(Configuration &configuration) -> void;

} // namespace nutmegplank::version::configuration
