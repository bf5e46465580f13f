#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace nutmegplank::request::rollout {

//! A text that the lease holder keeps.
struct HeldText
{
    std::size_t handle = 0; //!< Of the caller.
    std::size_t bytes = 0;
    bool complete = false; //!< Only its score is missing.
};

//! Bytes of text that a process may keep for items in all; \a memoryBytes is its memory, 0 if not
//! known.
auto textBudgetOf(std::uint64_t memoryBytes) -> std::size_t;

//! Returns the handles of the texts to discard, so that the rest fits \a budget: the largest go
//! first, and complete ones stay.
auto chooseTextsToDiscard(std::vector<HeldText> texts, std::size_t budget)
    -> std::vector<std::size_t>;

//! Whether further runs may start beside results of \a unwrittenBytes that the log has not taken
//! yet.
auto mayStartRuns(std::size_t unwrittenBytes, std::size_t budget) -> bool;

} // namespace nutmegplank::request::rollout
