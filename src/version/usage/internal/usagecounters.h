#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>

#include "process/snapshot/rcucell.h"
#include "version/usage/iusagecounters.h"
#include "version/usage/usagewindow.h"

namespace nutmegplank::version::usage {

//! Stores the counters in an RCU cell, so that adding to existing counters takes no lock.
class UsageCounters : public IUsageCounters
{
public:
    explicit UsageCounters(std::string process);

    auto add(const state::UsageFigure &amount) -> void override;
    auto collect() const -> wire::UsageCounters override;

private:
    struct AtomicCounters
    {
        std::atomic<std::uint64_t> requests { 0 };
        std::atomic<std::uint64_t> promptTokens { 0 };
        std::atomic<std::uint64_t> generatedTokens { 0 };
        std::atomic<std::uint64_t> serverMilliseconds { 0 };
    };
    using Table = std::map<SeriesKey, std::shared_ptr<AtomicCounters>>;

    auto findOrAddCounters(const SeriesKey &key) -> std::shared_ptr<AtomicCounters>;

    std::string m_process;
    process::snapshot::RcuCell<Table> m_table;
    std::mutex m_addMutex; //!< Guards the addition of new counters to m_table.
    mutable std::atomic<std::uint64_t> m_revision { 0 };
};

} // namespace nutmegplank::version::usage
