#include "version/waves/waveplanner.h"

#include <algorithm>
#include <cmath>

namespace nutmegplank::version::waves {

namespace {

constexpr auto ENGINES_PER_LOAD = 5.0;
//! Time constant of the smoothed demand: three steps of a trainer, so that the pause between two
//! steps moves no engine.
constexpr auto DEMAND_SECONDS = 12.0;
//! An engine changes its model when one has this much less than its share and another this much
//! more.
constexpr auto LACK = 0.8;
constexpr auto SURPLUS = 0.4;

auto valueOr(const std::map<std::string, std::uint64_t> &values, const std::string &key)
    -> std::uint64_t
{
    const auto found = values.find(key);
    return found == values.end() ? 0 : found->second;
}

} // namespace

auto loadsAtOnce(std::size_t count) -> std::size_t
{
    return std::max<std::size_t>(
        1, static_cast<std::size_t>(std::lround(static_cast<double>(count) / ENGINES_PER_LOAD)));
}

auto WavePlanner::modelOf(const std::string &engine) const -> std::string
{
    const auto found = m_models.find(engine);
    return found == m_models.end() ? std::string() : found->second;
}

auto WavePlanner::updateDemand(const WaveInput &input) -> void
{
    const auto elapsed =
        m_demandAt == base::TimePoint() ? 0.0 : base::toSeconds(input.now - m_demandAt);
    m_demandAt = input.now;
    const auto kept = std::exp(-elapsed / DEMAND_SECONDS);
    for (auto &[model, value] : m_demand)
        value *= kept;
    for (const auto &[model, tokens] : input.demand)
        m_demand[model] += tokens * (1.0 - kept);
}

auto WavePlanner::assign(const WaveInput &input) -> void
{
    auto models = std::set<std::string>();
    for (const auto &engine : input.engines) {
        for (const auto &[model, version] : engine.versions)
            models.insert(model);
    }
    if (models.empty())
        return;
    std::erase_if(m_models, [&](const auto &entry) {
        return !models.contains(entry.second)
            || std::ranges::none_of(
                input.engines, [&](const WaveEngine &engine) { return engine.id == entry.first; });
    });
    auto total = 0.0;
    for (const auto &model : models)
        total += m_demand[model];
    const auto count = static_cast<double>(input.engines.size());
    auto share = std::map<std::string, double>();
    auto have = std::map<std::string, double>();
    for (const auto &model : models) {
        const auto part = total > 0 ? m_demand[model] / total : 1.0 / double(models.size());
        share[model] = std::max(std::min(1.0, count / double(models.size())), part * count);
        have[model] = 0;
    }
    for (const auto &[engine, model] : m_models)
        ++have[model];
    const auto neediest = [&] {
        return std::ranges::max_element(
            models, {}, [&](const std::string &model) { return share[model] - have[model]; });
    };
    for (const auto &engine : input.engines) {
        if (m_models.contains(engine.id))
            continue;
        m_models[engine.id] = *neediest();
        ++have[m_models[engine.id]];
    }
    const auto taker = *neediest();
    if (share[taker] - have[taker] < LACK)
        return;
    const auto giver = *std::ranges::max_element(
        models, {}, [&](const std::string &model) { return have[model] - share[model]; });
    if (have[giver] - share[giver] < SURPLUS)
        return;
    // The engine with the newest weights for the taker needs them least urgently.
    const WaveEngine *best = nullptr;
    for (const auto &engine : input.engines) {
        if (modelOf(engine.id) != giver || engine.loading)
            continue;
        if (best == nullptr || valueOr(engine.versions, taker) > valueOr(best->versions, taker))
            best = &engine;
    }
    if (best != nullptr)
        m_models[best->id] = taker;
}

auto WavePlanner::decide(const WaveInput &input) -> std::vector<WaveOrder>
{
    updateDemand(input);
    assign(input);
    auto loading = static_cast<std::size_t>(std::ranges::count_if(
        input.engines, [](const WaveEngine &engine) { return engine.loading; }));
    struct Candidate
    {
        const WaveEngine *engine;
        bool blocked; //!< Can do no work for its model as it is.
        WaveOrder order;
    };
    auto candidates = std::vector<Candidate>();
    for (const auto &engine : input.engines) {
        const auto model = modelOf(engine.id);
        const auto named = valueOr(input.named, model);
        const auto present = valueOr(engine.versions, model);
        if (engine.loading || !engine.orderable || model.empty() || present >= named)
            continue;
        const auto blocked = present < valueOr(input.needed, model);
        candidates.push_back({ &engine, blocked, { engine.id, model, named } });
    }
    std::ranges::stable_sort(candidates, [](const Candidate &left, const Candidate &right) {
        if (left.blocked != right.blocked)
            return left.blocked;
        return left.engine->running < right.engine->running;
    });
    auto orders = std::vector<WaveOrder>();
    for (const auto &candidate : candidates) {
        if (loading >= loadsAtOnce(input.engines.size()))
            break;
        orders.push_back(candidate.order);
        ++loading;
    }
    return orders;
}

} // namespace nutmegplank::version::waves
