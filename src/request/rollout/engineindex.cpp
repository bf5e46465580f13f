#include "request/rollout/engineindex.h"

#include <algorithm>

#include "request/rollout/finishestimate.h"

namespace nutmegplank::request::rollout {

namespace {

//! Engines with room that cannot take this one item, e.g. for its text's software version or its
//! cache, before it is left to wait.
constexpr auto MAX_UNSUITABLE = std::size_t(64);
//! Factor on the time per event of engines with weights that are not the newest.
constexpr auto STALE_WEIGHTS_FACTOR = 1.1;

} // namespace

EngineIndex::EngineIndex(std::vector<EngineLoad> &engines)
    : m_engines(engines)
{
    for (const auto &engine : engines) {
        for (const auto &[model, version] : engine.modelVersion)
            m_newest[model] = std::max(m_newest[model], version);
    }
}

auto EngineIndex::costOf(const WaitingItem &item, std::size_t index) const -> base::Duration
{
    const auto &engine = m_engines[index];
    const auto time = FinishEstimate::eventTime(engine);
    if (engine.modelVersion.at(item.model) >= m_newest.at(item.model))
        return time;
    return std::chrono::duration_cast<base::Duration>(time * STALE_WEIGHTS_FACTOR);
}

auto EngineIndex::heapFor(const WaitingItem &item) -> std::vector<Entry> &
{
    const auto [found, isNew] =
        m_heaps.try_emplace(Class { item.route, item.model, item.minVersion });
    auto &heap = found->second;
    if (!isNew)
        return heap;
    for (auto index = std::size_t(0); index < m_engines.size(); ++index) {
        ++m_visits;
        if (mayServe(item, m_engines[index]))
            heap.emplace_back(costOf(item, index), index);
    }
    std::ranges::make_heap(heap, std::greater());
    return heap;
}

auto EngineIndex::findBest(const WaitingItem &item) -> std::size_t
{
    auto &heap = heapFor(item);
    auto unsuitable = std::vector<Entry>();
    auto best = m_engines.size();
    while (!heap.empty() && best == m_engines.size() && unsuitable.size() < MAX_UNSUITABLE) {
        ++m_visits;
        std::ranges::pop_heap(heap, std::greater());
        const auto entry = heap.back();
        heap.pop_back();
        const auto &engine = m_engines[entry.second];
        if (!hasFreeSlot(engine))
            continue;
        const auto cost = costOf(item, entry.second);
        if (cost > entry.first) {
            heap.emplace_back(cost, entry.second);
            std::ranges::push_heap(heap, std::greater());
            continue;
        }
        unsuitable.push_back(entry);
        if (engine.id != item.avoidedEngine && canRunAt(item, engine))
            best = entry.second;
    }
    for (const auto &entry : unsuitable) {
        heap.push_back(entry);
        std::ranges::push_heap(heap, std::greater());
    }
    if (best < m_engines.size())
        return best;
    const auto avoided = std::ranges::find_if(unsuitable, [&](const Entry &entry) {
        return m_engines[entry.second].id == item.avoidedEngine
            && canRunAt(item, m_engines[entry.second]);
    });
    return avoided == unsuitable.end() ? best : avoided->second;
}

auto EngineIndex::reserveAt(const WaitingItem &item, std::size_t index) -> void
{
    reserve(item, m_engines[index]);
}

} // namespace nutmegplank::request::rollout
