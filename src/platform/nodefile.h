#pragma once

#include <string>

#include <absl/status/statusor.h>

#include "process/settings/machinesettings.h"

namespace nutmegplank::platform {

//! Reads the settings file that the platform writes for this machine. Errors name the file, the
//! field and the allowed values. Unknown fields are ignored.
auto readNodeFile(const std::string &path) -> absl::StatusOr<process::settings::MachineSettings>;

//! The path of the settings file: NUTMEGPLANK_NODE_FILE if set, else the platform's default path.
auto nodeFilePath() -> std::string;

} // namespace nutmegplank::platform
