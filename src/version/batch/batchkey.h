#pragma once

#include <string>
#include <string_view>

namespace nutmegplank::version::batch {

//! Batch keys identify batches among those of all workspaces. Callers choose ids, so that an id
//! alone does not: two workspaces may choose the same one. The key of a batch that belongs to no
//! workspace is its id. \a id must not contain a blank.
auto makeBatchKey(std::string_view workspace, std::string_view id) -> std::string;

//! The parts of \a batchKey.
auto idOf(std::string_view batchKey) -> std::string;
auto workspaceOf(std::string_view batchKey) -> std::string;

} // namespace nutmegplank::version::batch
