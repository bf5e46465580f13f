#include "version/batch/bulkpartitions.h"

#include "base/hash.h"

namespace nutmegplank::version::batch {

namespace {

//! How long a failed partition is skipped. Longer than three more attempts on other partitions and
//! a request to another machine take, so that the next attempts for a batch continue with untried
//! partitions.
constexpr auto SKIP_DURATION = std::chrono::seconds(8);

} // namespace

auto BulkPartitions::choose(const std::string &batchKey, std::uint32_t count,
                            base::TimePoint now) const -> std::uint32_t
{
    const auto preferred = static_cast<std::uint32_t>(base::hash64(batchKey) % count);
    for (auto shift = 0U; shift < count; ++shift) {
        const auto partition = (preferred + shift) % count;
        const auto skipped = m_skipUntil.find(partition);
        if (skipped == m_skipUntil.end() || now >= skipped->second)
            return partition;
    }
    return preferred;
}

auto BulkPartitions::noteFailed(std::uint32_t partition, base::TimePoint now) -> void
{
    m_skipUntil[partition] = now + SKIP_DURATION;
}

} // namespace nutmegplank::version::batch
