#pragma once

#include <atomic>
#include <cstdint>

//! Memory that a process holds on behalf of its peers.
namespace nutmegplank::process::memory {

//! Bytes that several connections may hold together, e.g. the bodies of requests that are being
//! read. Taken as they arrive, through HeldBytes. Safe for several threads.
class ByteBudget
{
public:
    //! \a limit: in bytes.
    explicit ByteBudget(std::uint64_t limit)
        : m_limit(limit)
    { }
    ByteBudget(const ByteBudget &) = delete;
    auto operator=(const ByteBudget &) -> ByteBudget & = delete;

    //! False, and nothing is taken, if the budget has less than \a bytes left.
    auto tryTake(std::uint64_t bytes) -> bool;
    auto giveBack(std::uint64_t bytes) -> void;
    //! Applies from the next tryTake(); what is held stays held.
    auto setLimit(std::uint64_t limit) -> void { m_limit = limit; }

    auto limit() const -> std::uint64_t { return m_limit; }
    auto held() const -> std::uint64_t { return m_held; }

private:
    std::atomic<std::uint64_t> m_limit;
    std::atomic<std::uint64_t> m_held = 0;
};

} // namespace nutmegplank::process::memory
