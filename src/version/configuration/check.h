#pragma once

#include <vector>

#include "base/finding.h"
#include "version/configuration/configuration.h"

//! Checks of declarations that are valid one by one.
namespace nutmegplank::version::configuration {

//! Entries that can never match and limits that contradict each other, in the order of their kinds
//! and names.
auto checkConfiguration(const Configuration &configuration) -> std::vector<base::Finding>;

} // namespace nutmegplank::version::configuration
