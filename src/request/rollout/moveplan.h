#pragma once

#include <vector>

#include "request/rollout/placement.h"

namespace nutmegplank::request::rollout {

//! An item that runs at an engine which may have become slow.
struct RunningItem
{
    WaitingItem item;      //!< As if it had to be placed again.
    double slowdown = 1.0; //!< Of its engine, relative to the median engine.
    base::Duration runTime { 0 };
    bool movedBefore = false; //!< It left this engine once and was placed there again.
};

//! Whether items should leave \a engine.
auto isSlow(const EngineLoad &engine) -> bool;
//! Chooses the items that leave slow engines. Suits engines that become slow while training steps
//! wait for their longest items. An item is moved only if an engine of normal speed has a slot and
//! cache for all its expected output: otherwise it would be placed at a slow engine again and its
//! context processed twice for nothing. The items with most output left are moved first. \a engines
//! is updated with the moves. Returns the handles of the items.
auto planMoves(std::vector<RunningItem> running, std::vector<EngineLoad> &engines)
    -> std::vector<std::size_t>;

} // namespace nutmegplank::request::rollout
