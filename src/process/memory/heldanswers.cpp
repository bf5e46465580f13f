#include "process/memory/heldanswers.h"

namespace nutmegplank::process::memory {

namespace {

//! Share of the memory of a process that answers may take. Requests, results and the process itself
//! need the rest.
constexpr auto MEMORY_SHARE = 4;
//! Budget if the memory is not known: the share of a machine of 160 MB.
constexpr auto DEFAULT_BUDGET_BYTES = std::uint64_t(40 * 1024 * 1024);
//! A caller that reads takes an answer within milliseconds; one that was interrupted by a lost
//! packet or two within this.
constexpr auto MIN_UNREAD_TIME = base::Duration(std::chrono::seconds(2));

} // namespace

HeldAnswers::HeldAnswers(std::uint64_t memoryBytes)
    : m_budget(std::make_shared<ByteBudget>(memoryBytes == 0 ? DEFAULT_BUDGET_BYTES
                                                             : memoryBytes / MEMORY_SHARE))
{ }

auto HeldAnswers::hold(HeldBytes &held, std::uint64_t bytes, base::TimePoint now) -> bool
{
    if (held.resize(bytes))
        return true;
    makeRoom(bytes - held.bytes(), now);
    return false;
}

auto HeldAnswers::beginWriting(std::uint64_t bytes, base::TimePoint now,
                               std::function<void()> disconnect) -> std::uint64_t
{
    m_writings[++m_lastWriting] = Writing { bytes, now, std::move(disconnect) };
    return m_lastWriting;
}

auto HeldAnswers::endWriting(std::uint64_t writing) -> void
{
    const auto found = m_writings.find(writing);
    if (found == m_writings.end())
        return;
    if (!found->second.disconnect)
        m_beingFreed -= found->second.bytes;
    m_writings.erase(found);
}

auto HeldAnswers::makeRoom(std::uint64_t bytes, base::TimePoint now) -> void
{
    while (m_beingFreed < bytes) {
        const auto chosen = chooseUnread(now);
        if (!chosen.has_value())
            return;
        auto &writing = m_writings[*chosen];
        m_beingFreed += writing.bytes;
        ++m_disconnectedCount;
        const auto disconnect = std::exchange(writing.disconnect, nullptr);
        disconnect();
    }
}

//! The writing with the most bytes for the longest time, if it has lasted long enough.
auto HeldAnswers::chooseUnread(base::TimePoint now) const -> std::optional<std::uint64_t>
{
    auto chosen = std::optional<std::uint64_t>();
    auto highestCost = 0.0;
    for (const auto &[id, writing] : m_writings) {
        const auto unread = now - writing.since;
        if (!writing.disconnect || unread < MIN_UNREAD_TIME)
            continue;
        const auto cost = static_cast<double>(writing.bytes) * static_cast<double>(unread.count());
        if (chosen.has_value() && cost <= highestCost)
            continue;
        chosen = id;
        highestCost = cost;
    }
    return chosen;
}

} // namespace nutmegplank::process::memory
