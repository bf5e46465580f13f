#include "version/batch/recordsize.h"

namespace nutmegplank::version::batch {

namespace {

//! Field numbers, lengths and numbers of one result or progress, and of a record.
constexpr auto ENVELOPE_BYTES = std::size_t(64);
constexpr auto VERSION_BYTES = std::size_t(10);
//! Weight versions, the stamp of the scorer and the software version beside a text.
constexpr auto TEXT_FIELDS_BYTES = std::size_t(1024);

} // namespace

auto storedBytes(const Result &result) -> std::size_t
{
    return ENVELOPE_BYTES + result.itemId.size() + result.text.size() + result.score.size()
        + VERSION_BYTES * result.versions.size();
}

auto storedBytes(const Progress &progress) -> std::size_t
{
    return ENVELOPE_BYTES + progress.text.size() + progress.software.size()
        + VERSION_BYTES * progress.versions.size();
}

auto storedBytes(const std::string &batchKey) -> std::size_t
{
    return ENVELOPE_BYTES + batchKey.size();
}

auto largestText(std::size_t recordBytes, std::size_t idBytes) -> std::size_t
{
    const auto reserved = 2 * ENVELOPE_BYTES + TEXT_FIELDS_BYTES + idBytes;
    return recordBytes > 2 * reserved ? recordBytes - reserved : recordBytes / 2;
}

} // namespace nutmegplank::version::batch
