#include "version/usage/internal/usagecounters.h"

namespace nutmegplank::version::usage {

auto makeUsageCounters(std::string process) -> std::unique_ptr<IUsageCounters>
{
    return std::make_unique<UsageCounters>(std::move(process));
}

UsageCounters::UsageCounters(std::string process)
    : m_process(std::move(process))
    , m_table(std::make_shared<const Table>())
{ }

auto UsageCounters::findOrAddCounters(const SeriesKey &key) -> std::shared_ptr<AtomicCounters>
{
    {
        const auto table = m_table.load();
        const auto found = table->find(key);
        if (found != table->end())
            return found->second;
    }
    const auto lock = std::lock_guard(m_addMutex);
    auto next = Table(*m_table.load());
    const auto counters = next.try_emplace(key, std::make_shared<AtomicCounters>()).first->second;
    m_table.store(std::make_shared<const Table>(std::move(next)));
    return counters;
}

auto UsageCounters::add(const state::UsageFigure &amount) -> void
{
    const auto counters = findOrAddCounters({ amount.workspace, amount.service });
    counters->requests.fetch_add(amount.requests, std::memory_order_relaxed);
    counters->promptTokens.fetch_add(amount.promptTokens, std::memory_order_relaxed);
    counters->generatedTokens.fetch_add(amount.generatedTokens, std::memory_order_relaxed);
    counters->serverMilliseconds.fetch_add(amount.serverMilliseconds, std::memory_order_relaxed);
}

auto UsageCounters::collect() const -> wire::UsageCounters
{
    auto message = wire::UsageCounters();
    message.set_process(m_process);
    message.set_revision(++m_revision);
    const auto table = m_table.load();
    for (const auto &[key, counters] : *table) {
        auto *counter = message.add_counters();
        counter->set_workspace(key.workspace);
        counter->set_service(key.service);
        counter->set_requests(counters->requests.load(std::memory_order_relaxed));
        counter->set_prompt_tokens(counters->promptTokens.load(std::memory_order_relaxed));
        counter->set_generated_tokens(counters->generatedTokens.load(std::memory_order_relaxed));
        counter->set_server_milliseconds(
            counters->serverMilliseconds.load(std::memory_order_relaxed));
    }
    return message;
}

} // namespace nutmegplank::version::usage
