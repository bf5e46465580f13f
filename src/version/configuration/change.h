#pragma once

#include <span>

#include <absl/status/statusor.h>
#include <boost/json/value.hpp>

#include "version/configuration/codec.h"

//! Changes of the configuration, as they stand in the log.
namespace nutmegplank::version::configuration {

//! Puts one object, or removes it when \a value is null.
struct Change
{
    ObjectKind object = ObjectKind::Workspace;
    std::string name;         //!< Id for keys; empty for the preset in force.
    boost::json::value value; //!< The object whole; for the preset in force its name.
};

auto toJson(const Change &change) -> boost::json::object;
auto toJson(std::span<const Change> changes) -> boost::json::array;

//! Reads an array of changes; \a place names it in errors.
auto parseChanges(const boost::json::value &value, std::string_view place)
    -> absl::StatusOr<std::vector<Change>>;

//! The object that \a kind and \a name stand for as JSON; null when there is none.
auto objectJson(const Configuration &configuration, ObjectKind kind, const std::string &name)
    -> boost::json::value;

//! \a base with \a changes put in force as \a version; all of them or an error. Deterministic, for
//! each process applies each change by itself.
auto applyChanges(const Configuration &base, std::span<const Change> changes, std::uint64_t version)
    -> absl::StatusOr<Configuration>;

//! Checks that whatever an object names is there.
auto checkReferences(const Configuration &configuration) -> absl::Status;

//! Fills what is derived from other fields.
auto rebuildIndexes(Configuration &configuration) -> void;

} // namespace nutmegplank::version::configuration
