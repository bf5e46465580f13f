#pragma once

#include <memory>
#include <mutex>
#include <utility>

#include "process/snapshot/rcureader.h"

//! Read-copy-update for values that every request reads and that change seldom.
namespace nutmegplank::process::snapshot {

//! Holds the newest version of a value. load() takes no lock and waits for nobody; store() waits
//! until no reader can still see the old pointer, so it belongs off the path of a request.
template <typename Value>
class RcuCell
{
public:
    explicit RcuCell(std::shared_ptr<const Value> first)
        : m_current(new Pointer(std::move(first)))
    { }
    ~RcuCell() { delete m_current.load(); }
    RcuCell(const RcuCell &) = delete;
    auto operator=(const RcuCell &) -> RcuCell & = delete;

    //! The newest value; it stays alive for as long as the caller holds it.
    auto load() const -> std::shared_ptr<const Value>
    {
        const auto reader = RcuReader();
        return *m_current.load(std::memory_order_acquire);
    }

    //! Publishes \a next.
    auto store(std::shared_ptr<const Value> next) -> void
    {
        const auto lock = std::lock_guard(m_writers);
        const auto *old =
            m_current.exchange(new Pointer(std::move(next)), std::memory_order_acq_rel);
        waitForReaders();
        delete old;
    }

private:
    using Pointer = std::shared_ptr<const Value>;
    std::atomic<const Pointer *> m_current;
    std::mutex m_writers;
};

} // namespace nutmegplank::process::snapshot
