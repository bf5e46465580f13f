#pragma once

#include "request/rollout/openbatch.h"

namespace nutmegplank::request::rollout {

//! Logs where the item \a index goes and why. \a recordAge: how old this machine's knowledge of the
//! engine is.
auto logPlacement(const OpenBatch &batch, std::size_t index, const EngineLoad &engine,
                  base::Duration recordAge) -> void;

} // namespace nutmegplank::request::rollout
