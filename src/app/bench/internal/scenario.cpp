#include "scenario.h"

#include <algorithm>

#include "base/text.h"

namespace nutmegplank::app::bench {

namespace {

constexpr auto GROUPS = 16.0;
constexpr auto SAMPLES_PER_GROUP = std::uint32_t(8);
constexpr auto TOKENS = std::uint32_t(64);
constexpr auto LONG_EVERY = std::uint32_t(8);
constexpr auto LONG_TOKENS = std::uint32_t(256);
constexpr auto LONGEST_TOKENS = std::uint32_t(1024);
constexpr auto STALENESS = std::uint32_t(2);
constexpr auto TRAIN_US = std::uint32_t(500);
constexpr auto ORDERS_PER_SECOND = 5.0;
constexpr auto PEAK_FACTOR = 4.0;
constexpr auto GREEDY_TRAINERS = 4;
constexpr auto KILLERS_PER_SECOND = 1.0;
constexpr auto REPLACEMENTS = 4;
//! More steps than any run comes to; the run's end stops them.
constexpr auto ENDLESS = std::uint32_t(100'000);
constexpr auto ORDINARY_TRAINERS = std::size_t(2);
constexpr auto ORDINARY_DESKS = std::size_t(3);
constexpr auto COMPLETIONS_PATH = "/v1/completions";

//! Puts a scenario together piece by piece.
class Builder
{
public:
    explicit Builder(const ScenarioInput &input)
        : m_input(input)
    { }

    auto trainer(std::size_t workspace) -> load::TrainerPlan &
    {
        const auto &owner = workspaceAt(workspace);
        auto plan = load::TrainerPlan {};
        plan.name = base::concat(owner.name, "-trainer", m_scenario.trainers.size());
        plan.workspace = owner.name;
        plan.key = owner.key;
        plan.service = m_input.engineService;
        plan.steps = ENDLESS;
        plan.groups = std::max(1U, static_cast<std::uint32_t>(GROUPS * m_input.scale));
        plan.samplesPerGroup = SAMPLES_PER_GROUP;
        plan.maxTokens = TOKENS;
        plan.longEvery = LONG_EVERY;
        plan.longTokens = LONG_TOKENS;
        plan.maxStaleness = STALENESS;
        plan.trainUsPerSample = TRAIN_US;
        // One trainer publishes for all that share the engines.
        plan.weightsEveryMs = m_scenario.trainers.empty() ? partOfRun(1, 6) : 0;
        m_scenario.trainers.push_back(std::move(plan));
        return m_scenario.trainers.back();
    }

    auto desk(std::size_t workspace, double factor) -> load::OrderPlan &
    {
        const auto &owner = workspaceAt(workspace);
        auto plan = load::OrderPlan {};
        plan.name = base::concat(owner.name, "-desk", m_scenario.orders.size());
        plan.workspace = owner.name;
        plan.key = owner.key;
        plan.path = m_input.orderPath;
        plan.perSecond = ORDERS_PER_SECOND * m_input.scale * factor;
        plan.count = static_cast<std::uint32_t>(plan.perSecond * base::toSeconds(m_input.duration));
        m_scenario.orders.push_back(std::move(plan));
        return m_scenario.orders.back();
    }

    auto ordinary(std::size_t trainers, std::size_t desks, double orderFactor) -> void
    {
        for (auto index = std::size_t(0); index < trainers; ++index)
            trainer(index);
        for (auto index = std::size_t(0); index < desks; ++index)
            desk(trainers + index, orderFactor);
    }

    //! An action after \a part of \a whole of the run.
    auto act(int part, int whole, ActionTarget target, std::string body) -> void
    {
        m_scenario.actions.push_back(
            Action { m_input.duration * part / whole, target, std::move(body) });
    }

    auto partOfRun(int part, int whole) const -> std::uint32_t
    {
        return static_cast<std::uint32_t>(base::toMilliseconds(m_input.duration * part / whole));
    }

    auto scenario() -> Scenario & { return m_scenario; }
    auto input() const -> const ScenarioInput & { return m_input; }

private:
    auto workspaceAt(std::size_t index) const -> const BenchWorkspace &
    {
        return m_input.workspaces[index % m_input.workspaces.size()];
    }

    const ScenarioInput &m_input;
    Scenario m_scenario;
};

auto addGreedy(Builder &builder) -> void
{
    for (auto index = 0; index < GREEDY_TRAINERS; ++index)
        builder.trainer(0);
    builder.trainer(1);
    builder.trainer(2);
    builder.desk(3, 1);
}

auto addKiller(Builder &builder) -> void
{
    auto &desk = builder.desk(ORDINARY_TRAINERS + ORDINARY_DESKS, 1);
    desk.path = COMPLETIONS_PATH;
    desk.killer = true;
    desk.perSecond = KILLERS_PER_SECOND;
    desk.count =
        static_cast<std::uint32_t>(KILLERS_PER_SECOND * base::toSeconds(builder.input().duration));
}

auto addReplacements(Builder &builder) -> void
{
    for (auto index = 0; index < REPLACEMENTS; ++index)
        builder.act(index + 1, REPLACEMENTS + 2, ActionTarget::Starter,
                    base::concat("replace_vm_", index));
}

//! What sets a scenario apart from an ordinary day.
auto adjust(ScenarioName name, Builder &builder) -> void
{
    switch (name) {
    case ScenarioName::ZoneReclaimed:
        return builder.act(1, 3, ActionTarget::Cloud,
                           base::concat("{\"reclaim_zone\": \"", builder.input().zone, "\"}"));
    case ScenarioName::ZoneOutAndBack:
        builder.act(1, 4, ActionTarget::Starter, "zone_out");
        return builder.act(5, 8, ActionTarget::Starter, "zone_back");
    case ScenarioName::AllCold:
        builder.act(1, 3, ActionTarget::Engines, "{\"cold\": true}");
        return builder.act(1, 3, ActionTarget::Plains, "{\"cold\": true}");
    case ScenarioName::FastWeights:
        for (auto &trainer : builder.scenario().trainers)
            trainer.maxStaleness = 1;
        builder.scenario().trainers.front().weightsEveryMs = builder.partOfRun(1, 20);
        return;
    case ScenarioName::LongStragglers:
        for (auto &trainer : builder.scenario().trainers)
            trainer.longTokens = LONGEST_TOKENS;
        return;
    case ScenarioName::LogOutage:
        builder.act(1, 4, ActionTarget::Log, "{\"outage\": true}");
        return builder.act(3, 4, ActionTarget::Log, "{\"outage\": false}");
    case ScenarioName::RollingReplacement:
        return addReplacements(builder);
    case ScenarioName::KillerRequest:
        return addKiller(builder);
    default:
        return;
    }
}

} // namespace

auto makeScenario(ScenarioName name, const ScenarioInput &input) -> Scenario
{
    auto builder = Builder(input);
    if (name == ScenarioName::GreedyWorkspace) {
        addGreedy(builder);
        return std::move(builder.scenario());
    }
    const auto isPeak = name == ScenarioName::Peak;
    const auto desks = isPeak ? std::max(input.workspaces.size(), std::size_t(1)) : ORDINARY_DESKS;
    builder.ordinary(ORDINARY_TRAINERS, desks, isPeak ? PEAK_FACTOR : 1);
    adjust(name, builder);
    return std::move(builder.scenario());
}

} // namespace nutmegplank::app::bench
