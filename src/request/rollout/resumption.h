#pragma once

#include <string_view>
#include <vector>

#include "request/rollout/placement.h"

namespace nutmegplank::request::rollout {

//! Why a waiting item with a text should be generated from its beginning, or nothing if an engine
//! of the software version that began it can go on soon. Suits a release of new software during
//! which the servers of the former version leave one after the other: the last of them may be full
//! or lost for longer than it takes to generate the text again. \a waited is the time since the
//! item could not run.
auto reasonToBeginAgain(const WaitingItem &item, const std::vector<EngineLoad> &engines,
                        base::Duration waited) -> std::string_view;

} // namespace nutmegplank::request::rollout
