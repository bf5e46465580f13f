#pragma once

#include <optional>
#include <string>

#include "version/batch/batch.h"
#include "version/routing/routingtable.h"

namespace nutmegplank::request::rollout {

//! Whether the engines of a route may have the memory for a prompt, by the configuration: one of
//! its services has it, or does not say what it has. \a promptTokens is 0 if not known.
auto mayHoldPrompt(const version::routing::RoutingTable &table,
                   const version::routing::Route &route, std::uint64_t promptTokens) -> bool;

//! Items of a batch whose prompts no engine can hold.
struct UnrunnableItems
{
    std::size_t items = 0;
    std::string firstItem; //!< Id of the first one.
    //! Too few groups are left for the number that the trainer waits for.
    bool blocksBatch = false;
};

//! Finds the items of \a submission that no engine of their routes can run.
auto findUnrunnable(const version::batch::Submission &submission,
                    const version::routing::RoutingTable &table) -> UnrunnableItems;

} // namespace nutmegplank::request::rollout
