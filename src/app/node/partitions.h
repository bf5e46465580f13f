#pragma once

#include "version/journal/ijournal.h"

//! The product's own partitions in the platform's log.
namespace nutmegplank::app::node {

constexpr auto PRODUCT_TOPIC = "nutmegplank";
constexpr auto MEMBER_TOPIC = "keyed.members";

enum class PartitionUse : std::uint32_t {
    Batches = 0, //!< Batches, their results and their ends.
    Lease = 1,   //!< Who is in charge.
    Meter = 2,   //!< Usage by windows.
};

inline auto partitionFor(PartitionUse use) -> version::journal::Partition
{
    return { PRODUCT_TOPIC, static_cast<std::uint32_t>(use) };
}

} // namespace nutmegplank::app::node
