#pragma once

#include "request/rollout/openbatch.h"

namespace nutmegplank::request::rollout {

//! Logs where the item \a index goes and why. \a recordAge: how old this machine's knowledge of the
//! engine is. end_ms is the predicted time to its end, 0 if no speed is known.
auto logPlacement(const OpenBatch &batch, std::size_t index, const EngineLoad &engine,
                  base::Duration recordAge, base::TimePoint now) -> void;

} // namespace nutmegplank::request::rollout
