#pragma once

#include "benchsettings.h"

namespace nutmegplank::app::bench {

//! Processor seconds that the process \a pid has used, from /proc/<pid>/stat; 0 when it is gone.
auto processorSeconds(std::int32_t pid) -> double;

//! Of all \a processes together.
auto processorSeconds(const std::vector<WatchedProcess> &processes) -> double;

} // namespace nutmegplank::app::bench
