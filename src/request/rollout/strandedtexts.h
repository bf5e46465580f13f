#pragma once

#include <vector>

#include "request/rollout/openbatches.h"

namespace nutmegplank::request::rollout {

//! Discards the texts of waiting items that no engine may go on with, or not soon enough, so that
//! these items begin again. Logs each.
auto discardStrandedTexts(OpenBatches &batches, const std::vector<EngineLoad> &engines,
                          base::TimePoint now) -> void;

//! Whether the text of \a item, whose run has ended with \a end, may hold events of two software
//! versions, given that its engine registered with another version during the run.
auto mayHoldOtherSoftware(const OpenItem &item, RunEnd end) -> bool;

} // namespace nutmegplank::request::rollout
