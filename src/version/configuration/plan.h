#pragma once

#include <string>
#include <vector>

#include "version/configuration/change.h"

//! The difference between what is in force and what is declared.
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

//! One change, with what people should know before they agree to it.
struct PlannedChange
{
    PlannedAction action = PlannedAction::Add;
    Change change;
    boost::json::value before; //!< Null when added.
    std::string effect;        //!< What it cuts or moves; empty when it harms nothing.
};

//! Changes that make \a inForce equal to \a declared, in a stable order; none when they are equal.
auto planChanges(const Configuration &inForce, const Configuration &declared)
    -> std::vector<PlannedChange>;

} // namespace nutmegplank::version::configuration
