#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/timepoint.h"

namespace nutmegplank::version::batch {

//! Chooses the partition for a bulk record. If some partitions of the log are unavailable, the next
//! available one is used, so that neither a batch nor the results of other batches wait for them.
//! Readers use the location stored in the index.
class BulkPartitions
{
public:
    //! Returns one of \a count partitions, by default the one that \a batchKey hashes to, so that
    //! records that are read together are stored together.
    auto choose(const std::string &batchKey, std::uint32_t count, base::TimePoint now) const
        -> std::uint32_t;
    auto noteStored(std::uint32_t partition) -> void { m_skipUntil.erase(partition); }
    auto noteFailed(std::uint32_t partition, base::TimePoint now) -> void;

private:
    std::map<std::uint32_t, base::TimePoint> m_skipUntil;
};

} // namespace nutmegplank::version::batch
