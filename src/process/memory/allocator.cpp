#include "process/memory/allocator.h"

#include <malloc.h>

namespace nutmegplank::process::memory {

namespace {

constexpr auto MAPPED_FROM_BYTES = 128 * 1024;
//! Unused memory at the heap's end that is kept.
constexpr auto KEPT_BYTES = 1024 * 1024;

} // namespace

auto mapLargeBuffers() -> void
{
    // By default the library raises the first of these as it runs.
    mallopt(M_MMAP_THRESHOLD, MAPPED_FROM_BYTES);
    mallopt(M_TRIM_THRESHOLD, KEPT_BYTES);
}

} // namespace nutmegplank::process::memory
