#include "process/memory/heldbytes.h"

namespace nutmegplank::process::memory {

HeldBytes::HeldBytes(HeldBytes &&other) noexcept
    : m_budget(std::move(other.m_budget))
    , m_bytes(std::exchange(other.m_bytes, 0))
{ }

auto HeldBytes::operator=(HeldBytes &&other) noexcept -> HeldBytes &
{
    std::swap(m_budget, other.m_budget);
    std::swap(m_bytes, other.m_bytes);
    return *this;
}

HeldBytes::~HeldBytes()
{
    resize(0);
}

auto HeldBytes::resize(std::uint64_t bytes) -> bool
{
    if (m_budget != nullptr && bytes > m_bytes && !m_budget->tryTake(bytes - m_bytes))
        return false;
    if (m_budget != nullptr && bytes < m_bytes)
        m_budget->giveBack(m_bytes - bytes);
    m_bytes = bytes;
    return true;
}

} // namespace nutmegplank::process::memory
