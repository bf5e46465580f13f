#pragma once

#include <memory>
#include <utility>

#include "process/memory/bytebudget.h"

namespace nutmegplank::process::memory {

//! A part of a ByteBudget that belongs to one holder and is given back exactly once, whichever way
//! the holder ends. Not thread-safe.
class HeldBytes
{
public:
    //! A holder without a budget holds any number of bytes.
    HeldBytes() = default;
    explicit HeldBytes(std::shared_ptr<ByteBudget> budget)
        : m_budget(std::move(budget))
    { }
    HeldBytes(HeldBytes &&other) noexcept;
    auto operator=(HeldBytes &&other) noexcept -> HeldBytes &;
    HeldBytes(const HeldBytes &) = delete;
    auto operator=(const HeldBytes &) -> HeldBytes & = delete;
    ~HeldBytes();

    //! Holds \a bytes in all. False, and nothing changes, if the budget has no room for more.
    auto resize(std::uint64_t bytes) -> bool;
    auto bytes() const -> std::uint64_t { return m_bytes; }

private:
    std::shared_ptr<ByteBudget> m_budget;
    std::uint64_t m_bytes = 0;
};

} // namespace nutmegplank::process::memory
