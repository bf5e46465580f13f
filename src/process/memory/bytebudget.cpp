#include "process/memory/bytebudget.h"

namespace nutmegplank::process::memory {

auto ByteBudget::tryTake(std::uint64_t bytes) -> bool
{
    auto held = m_held.load();
    while (true) {
        const auto limit = m_limit.load();
        if (held > limit || bytes > limit - held)
            return false;
        if (m_held.compare_exchange_weak(held, held + bytes))
            return true;
    }
}

auto ByteBudget::giveBack(std::uint64_t bytes) -> void
{
    m_held -= bytes;
}

} // namespace nutmegplank::process::memory
