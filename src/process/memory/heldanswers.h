#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "base/timepoint.h"
#include "process/memory/heldbytes.h"

namespace nutmegplank::process::memory {

//! Answers that a process holds until their callers have read them, within one budget. Suits a load
//! in which many callers read slowly or not at all: when there is no room for an answer, callers
//! are disconnected that leave theirs unread, and the process lives. Not thread-safe.
class HeldAnswers
{
public:
    //! The budget follows from the memory of the process; \a memoryBytes is 0 if it is not known.
    explicit HeldAnswers(std::uint64_t memoryBytes);

    //! For the bytes of one answer.
    auto newHolder() const -> HeldBytes { return HeldBytes(m_budget); }
    //! Holds \a bytes in all. False if there is no room; callers may have been disconnected to make
    //! some, which takes effect a moment later.
    auto hold(HeldBytes &held, std::uint64_t bytes, base::TimePoint now) -> bool;

    //! An answer of \a bytes is being written to its caller from \a now on; \a disconnect ends the
    //! writing soon.
    auto beginWriting(std::uint64_t bytes, base::TimePoint now, std::function<void()> disconnect)
        -> std::uint64_t;
    auto endWriting(std::uint64_t writing) -> void;

    auto budget() const -> const ByteBudget & { return *m_budget; }
    //! Callers that were disconnected because they left their answers unread.
    auto disconnectedCount() const -> std::uint64_t { return m_disconnectedCount; }

private:
    struct Writing
    {
        std::uint64_t bytes = 0;
        base::TimePoint since {};
        std::function<void()> disconnect; //!< Empty once it has run.
    };

    auto makeRoom(std::uint64_t bytes, base::TimePoint now) -> void;
    auto chooseUnread(base::TimePoint now) const -> std::optional<std::uint64_t>;

    std::shared_ptr<ByteBudget> m_budget;
    std::map<std::uint64_t, Writing> m_writings;
    std::uint64_t m_lastWriting = 0;
    std::uint64_t m_beingFreed = 0; //!< Bytes of callers that are being disconnected.
    std::uint64_t m_disconnectedCount = 0;
};

} // namespace nutmegplank::process::memory
