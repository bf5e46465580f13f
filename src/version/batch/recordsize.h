#pragma once

#include <cstddef>

#include "version/batch/batch.h"

namespace nutmegplank::version::batch {

//! Upper bounds of what results and progress take in a bulk record, in bytes.
auto storedBytes(const Result &result) -> std::size_t;
auto storedBytes(const Progress &progress) -> std::size_t;
//! Of a record without results and progress.
auto storedBytes(const std::string &batchKey) -> std::size_t;
//! The largest text that fits a record of \a recordBytes together with ids of \a idBytes.
auto largestText(std::size_t recordBytes, std::size_t idBytes) -> std::size_t;

} // namespace nutmegplank::version::batch
