#include "version/waves/waveplanner.h"

#include <algorithm>
#include <cmath>

namespace nutmegplank::version::waves {

namespace {

constexpr auto ENGINES_PER_CONCURRENT_LOAD = 5.0;
//! Time constant of the demand smoothing. It spans three trainer steps, so that the pause between
//! two steps does not reassign an engine.
constexpr auto DEMAND_TIME_CONSTANT_SECONDS = 12.0;
//! An engine is reassigned only if one model is short of its share by at least MIN_DEFICIT_ENGINES
//! and another exceeds its share by at least MIN_SURPLUS_ENGINES.
constexpr auto MIN_DEFICIT_ENGINES = 0.8;
constexpr auto MIN_SURPLUS_ENGINES = 0.4;

auto valueOr(const std::map<std::string, std::uint64_t> &values, const std::string &key)
    -> std::uint64_t
{
    const auto found = values.find(key);
    return found == values.end() ? 0 : found->second;
}

} // namespace

auto maxConcurrentLoads(std::size_t count) -> std::size_t
{
    return std::max<std::size_t>(1,
                                 static_cast<std::size_t>(std::lround(
                                     static_cast<double>(count) / ENGINES_PER_CONCURRENT_LOAD)));
}

auto WavePlanner::modelOf(const std::string &engine) const -> std::string
{
    const auto found = m_assignedModels.find(engine);
    return found == m_assignedModels.end() ? std::string() : found->second;
}

auto WavePlanner::updateDemand(const WaveInput &input) -> void
{
    const auto elapsed = m_demandUpdatedAt == base::TimePoint()
        ? 0.0
        : base::toSeconds(input.now - m_demandUpdatedAt);
    m_demandUpdatedAt = input.now;
    const auto decay = std::exp(-elapsed / DEMAND_TIME_CONSTANT_SECONDS);
    for (auto &[model, value] : m_demand)
        value *= decay;
    for (const auto &[model, tokens] : input.demand)
        m_demand[model] += tokens * (1.0 - decay);
}

auto WavePlanner::assignModels(const WaveInput &input) -> void
{
    auto models = std::set<std::string>();
    for (const auto &engine : input.engines) {
        for (const auto &[model, version] : engine.versions)
            models.insert(model);
    }
    if (models.empty())
        return;
    std::erase_if(m_assignedModels, [&](const auto &entry) {
        return !models.contains(entry.second)
            || std::ranges::none_of(
                input.engines, [&](const WaveEngine &engine) { return engine.id == entry.first; });
    });
    auto total = 0.0;
    for (const auto &model : models)
        total += m_demand[model];
    const auto count = static_cast<double>(input.engines.size());
    auto share = std::map<std::string, double>();
    auto assigned = std::map<std::string, double>();
    for (const auto &model : models) {
        const auto demandShare = total > 0 ? m_demand[model] / total : 1.0 / double(models.size());
        share[model] = std::max(std::min(1.0, count / double(models.size())), demandShare * count);
        assigned[model] = 0;
    }
    for (const auto &[engine, model] : m_assignedModels)
        ++assigned[model];
    const auto mostUnderserved = [&] {
        return std::ranges::max_element(
            models, {}, [&](const std::string &model) { return share[model] - assigned[model]; });
    };
    for (const auto &engine : input.engines) {
        if (m_assignedModels.contains(engine.id))
            continue;
        m_assignedModels[engine.id] = *mostUnderserved();
        ++assigned[m_assignedModels[engine.id]];
    }
    const auto receiver = *mostUnderserved();
    if (share[receiver] - assigned[receiver] < MIN_DEFICIT_ENGINES)
        return;
    const auto donor = *std::ranges::max_element(
        models, {}, [&](const std::string &model) { return assigned[model] - share[model]; });
    if (assigned[donor] - share[donor] < MIN_SURPLUS_ENGINES)
        return;
    // Prefers the engine with the newest weights of the receiving model: it needs a load least
    // urgently.
    const WaveEngine *best = nullptr;
    for (const auto &engine : input.engines) {
        if (modelOf(engine.id) != donor || engine.loading)
            continue;
        if (best == nullptr
            || valueOr(engine.versions, receiver) > valueOr(best->versions, receiver))
            best = &engine;
    }
    if (best != nullptr)
        m_assignedModels[best->id] = receiver;
}

auto WavePlanner::decide(const WaveInput &input) -> std::vector<WaveOrder>
{
    updateDemand(input);
    assignModels(input);
    auto loading = static_cast<std::size_t>(std::ranges::count_if(
        input.engines, [](const WaveEngine &engine) { return engine.loading; }));
    struct Candidate
    {
        const WaveEngine *engine;
        bool blocked; //!< Its version is too old for any pending work of its model.
        WaveOrder order;
    };
    auto candidates = std::vector<Candidate>();
    for (const auto &engine : input.engines) {
        const auto model = modelOf(engine.id);
        const auto newest = valueOr(input.newestVersions, model);
        const auto loaded = valueOr(engine.versions, model);
        if (engine.loading || !engine.orderable || model.empty() || loaded >= newest)
            continue;
        const auto blocked = loaded < valueOr(input.minimumVersions, model);
        candidates.push_back({ &engine, blocked, { engine.id, model, newest } });
    }
    std::ranges::stable_sort(candidates, [](const Candidate &left, const Candidate &right) {
        if (left.blocked != right.blocked)
            return left.blocked;
        return left.engine->running < right.engine->running;
    });
    auto orders = std::vector<WaveOrder>();
    for (const auto &candidate : candidates) {
        if (loading >= maxConcurrentLoads(input.engines.size()))
            break;
        orders.push_back(candidate.order);
        ++loading;
    }
    return orders;
}

} // namespace nutmegplank::version::waves
