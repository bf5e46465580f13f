#include "load/latencies.h"

#include <algorithm>
#include <cmath>

namespace nutmegplank::load {

auto Latencies::record(base::Duration latency) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    m_latencies.push_back(latency);
}

auto Latencies::add(const Latencies &other) -> void
{
    const auto lock = std::scoped_lock(m_mutex, other.m_mutex);
    m_latencies.insert(m_latencies.end(), other.m_latencies.begin(), other.m_latencies.end());
}

auto Latencies::percentile(double part) const -> double
{
    const auto lock = std::lock_guard(m_mutex);
    if (m_latencies.empty())
        return 0;
    auto sorted = m_latencies;
    std::sort(sorted.begin(), sorted.end());
    const auto rank = std::ceil(part * static_cast<double>(sorted.size()));
    const auto at = std::clamp(static_cast<std::size_t>(rank), std::size_t(1), sorted.size());
    return base::toSeconds(sorted[at - 1]) * 1000;
}

auto Latencies::count() const -> std::size_t
{
    const auto lock = std::lock_guard(m_mutex);
    return m_latencies.size();
}

auto share(double part, double whole) -> double
{
    return whole > 0 ? part / whole : 0;
}

} // namespace nutmegplank::load
