#pragma once

#include <string>
#include <vector>

namespace nutmegplank::app::bench {

//! What one workspace asked for and got, in tokens.
struct WorkspaceService
{
    std::string workspace;
    double weight = 1;
    double demand = 0;
    double served = 0;
};

//! What each workspace is due of all that was served: shares by weight, none above its demand, what
//! one leaves goes to the others (weighted max-min). In the order of \a services.
auto dueAmounts(const std::vector<WorkspaceService> &services) -> std::vector<double>;

//! The workspace that got least of what it is due.
struct WorstServed
{
    std::string workspace;
    double share = 1; //!< Served over due, 1 at most.
};

auto worstServed(const std::vector<WorkspaceService> &services) -> WorstServed;

} // namespace nutmegplank::app::bench
