#include "request/execution/keyedruns.h"

namespace nutmegplank::request::execution {

KeyedRuns::Entry::Entry(KeyedRuns &runs, std::string keyId,
                        std::shared_ptr<ICancellation> cancellation)
    : m_runs(runs)
    , m_keyId(std::move(keyId))
    , m_cancellation(cancellation.get())
{
    const auto lock = std::lock_guard(m_runs.m_mutex);
    m_runs.m_runs[m_keyId].emplace(m_cancellation, std::move(cancellation));
}

KeyedRuns::Entry::~Entry()
{
    const auto lock = std::lock_guard(m_runs.m_mutex);
    const auto found = m_runs.m_runs.find(m_keyId);
    found->second.erase(m_cancellation);
    if (found->second.empty())
        m_runs.m_runs.erase(found);
}

auto KeyedRuns::cancelInvalid(const std::function<bool(const std::string &keyId)> &isValid,
                              const Refusal &reason) -> std::size_t
{
    auto cancellations = std::vector<std::shared_ptr<ICancellation>>();
    {
        const auto lock = std::lock_guard(m_mutex);
        for (const auto &[keyId, runs] : m_runs) {
            if (isValid(keyId))
                continue;
            for (const auto &[address, cancellation] : runs)
                cancellations.push_back(cancellation);
        }
    }
    for (const auto &cancellation : cancellations)
        cancellation->cancel(reason);
    return cancellations.size();
}

auto KeyedRuns::size() const -> std::size_t
{
    const auto lock = std::lock_guard(m_mutex);
    return m_runs.size();
}

} // namespace nutmegplank::request::execution
