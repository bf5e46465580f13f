#pragma once

#include <string>
#include <vector>

#include "version/configuration/change.h"

//! The difference between the current configuration and the declared one.
namespace nutmegplank::version::configuration {

enum class PlannedAction {
    Add,
    Alter,
    Remove,
};

constexpr auto PLANNED_ACTION_NAMES = base::EnumTable<PlannedAction, 3> { {
    { PlannedAction::Add, "add" },
    { PlannedAction::Alter, "alter" },
    { PlannedAction::Remove, "remove" },
} };

//! One change, with what operators should know before they confirm it.
struct PlannedChange
{
    PlannedAction action = PlannedAction::Add;
    Change change;
    boost::json::value before; //!< Null when added.
    std::string effect; //!< Its effect on callers and backend servers; empty when there is none.
};

//! Returns the changes that turn \a current into \a declared, in a stable order; empty when they
//! are equal.
auto planChanges(const Configuration &current, const Configuration &declared)
    -> std::vector<PlannedChange>;

} // namespace nutmegplank::version::configuration
