#pragma once

#include <string>

#include <absl/status/statusor.h>

#include "process/settings/machinesettings.h"

namespace nutmegplank::platform {

//! Reads the settings file that the platform writes for a machine; the error names the file, the
//! field and what is allowed. Fields that the product does not need are ignored.
auto readNodeFile(const std::string &path) -> absl::StatusOr<process::settings::MachineSettings>;

//! The path of that file: from the environment, or the platform's usual place.
auto nodeFilePath() -> std::string;

} // namespace nutmegplank::platform
