#pragma once

#include <filesystem>
#include <span>
#include <string>

#include <absl/status/statusor.h>

#include "version/configuration/configuration.h"

//! Declarations: JSON files with comments that operators keep in version control.
namespace nutmegplank::version::configuration {

//! One file; error messages contain \a name.
struct DeclarationFile
{
    std::string name;
    std::string text;
};

//! Validates and merges \a files. Any file may contain any of the arrays; declaring an object twice
//! is an error.
auto parseDeclarations(std::span<const DeclarationFile> files) -> absl::StatusOr<Configuration>;

//! All problems of \a files, each with its file, entry and field; empty if they are valid.
auto declarationProblems(std::span<const DeclarationFile> files) -> std::vector<std::string>;

//! The ".json" files of \a folder, sorted by name. A folder without any is an error.
auto readDeclarationFiles(const std::filesystem::path &folder)
    -> absl::StatusOr<std::vector<DeclarationFile>>;

//! Reads all ".json" files of \a folder, sorted by name. A folder without any is an error.
auto loadDeclarations(const std::filesystem::path &folder) -> absl::StatusOr<Configuration>;

} // namespace nutmegplank::version::configuration
