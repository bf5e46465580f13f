#pragma once

#include <map>
#include <vector>

#include "version/batch/batch.h"

namespace nutmegplank::version::batch {

//! The longest valid text of each item out of all that was stored, so that a batch whose items were
//! stored often takes the memory of one text an item.
class NewestProgress
{
public:
    //! Adds one record's progress; records are added in the order in which they were stored. An
    //! entry without events says that what was stored before of its item is invalid.
    auto add(std::vector<Progress> stored) -> void;
    auto take() -> std::vector<Progress>;

private:
    std::map<std::uint32_t, Progress> m_items;
};

} // namespace nutmegplank::version::batch
