#pragma once

#include "version/journal/ijournal.h"

//! The product's own partitions in the platform's log.
namespace nutmegplank::app::node {

constexpr auto PRODUCT_TOPIC = "nutmegplank";
constexpr auto MEMBER_TOPIC = "keyed.members";
//! Software versions at which callers' streams began, and their baselines; see
//! version::streamorigin.
constexpr auto ORIGIN_TOPIC = "streams";
constexpr auto BASELINE_TOPIC = "keyed.software";
//! Bodies and texts of batches, over all its partitions; see version::batch::BulkPartitions.
constexpr auto BULK_TOPIC = "bulk";

enum class PartitionUse : std::uint32_t {
    Index = 0, //!< Batches, what of them is listed, and their ends.
    Lease = 1, //!< Who is in charge.
    Meter = 2, //!< Usage by windows.
};

inline auto bulkPartition(std::uint32_t number) -> version::journal::Partition
{
    return { BULK_TOPIC, number };
}

inline auto partitionFor(PartitionUse use) -> version::journal::Partition
{
    return { PRODUCT_TOPIC, static_cast<std::uint32_t>(use) };
}

} // namespace nutmegplank::app::node
