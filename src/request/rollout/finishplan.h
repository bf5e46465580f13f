#pragma once

#include <vector>

#include "request/rollout/placement.h"

namespace nutmegplank::request::rollout {

//! An item that runs, as the planner of moves sees it.
struct MovableItem
{
    WaitingItem item;       //!< As if it had to be placed again.
    std::size_t engine = 0; //!< Where it runs: index into the list of engines.
    base::Duration runTime { 0 };
    std::uint32_t moves = 0; //!< How often it was moved before.
};

//! A run that goes on at another engine, or gives way to one that does.
struct PlannedMove
{
    std::size_t handle = 0;
    std::size_t target = 0;           //!< Index into the list of engines.
    base::Duration endHere { 0 };     //!< Predicted time to its end where it is.
    base::Duration endAtTarget { 0 }; //!< The same with the move.
};

//! Assigns waiting items to engines of different speeds: the item with the least slack first, i.e.
//! due time less its rest at the fastest engine, each to the engine at which it ends first. Batches
//! are due by the time of their submission, so that the longest items of the batch furthest behind
//! get the fastest engines. Engines are never kept idle. \a engines is updated.
auto placeByFinish(std::vector<WaitingItem> waiting, std::vector<EngineLoad> &engines,
                   base::TimePoint now) -> std::vector<Assignment>;

//! Chooses the runs that go on at a faster engine, in the order of their slack where they are:
//! those that end earlier there by more than the move costs. Runs that end soon, were just placed
//! or were moved often stay. \a engines is updated with the moves.
auto planFinishMoves(std::vector<MovableItem> running, std::vector<EngineLoad> &engines,
                     base::TimePoint now) -> std::vector<PlannedMove>;

} // namespace nutmegplank::request::rollout
