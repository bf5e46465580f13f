#pragma once

#include <filesystem>
#include <span>
#include <string>

#include <absl/status/statusor.h>

#include "version/configuration/configuration.h"

//! Declarations: files of JSON with comments that operators keep in version control.
namespace nutmegplank::version::configuration {

//! One file; \a name stands in errors.
struct DeclarationFile
{
    std::string name;
    std::string text;
};

//! Checks and joins files. Any file may hold any of the arrays; each object is declared once.
auto parseDeclarations(std::span<const DeclarationFile> files) -> absl::StatusOr<Configuration>;

//! Reads all files of a folder that end in ".json", in the order of their names.
auto loadDeclarations(const std::filesystem::path &folder) -> absl::StatusOr<Configuration>;

} // namespace nutmegplank::version::configuration
