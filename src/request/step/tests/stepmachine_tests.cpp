#include <array>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "base/text.h"
#include "request/step/internal/stepmachine.h"

using namespace nutmegplank;
using namespace nutmegplank::request::step;

namespace {

constexpr auto BOUND = std::uint64_t(2);
constexpr auto TOKENS = std::uint32_t(16);
constexpr auto OWNERS = std::size_t(2);

auto makeSpec(std::uint64_t epoch, std::vector<std::string> held) -> StepSpec
{
    auto spec = StepSpec {};
    spec.step = "s";
    spec.epoch = epoch;
    spec.service = "engine";
    spec.maxStaleness = BOUND;
    spec.groups = { { "g", "prompt", 5, TOKENS, 1 }, { "h", "other", 3, 2 * TOKENS, 9 } };
    spec.held = std::move(held);
    return spec;
}

auto makePolicy() -> StepPolicy
{
    auto policy = StepPolicy {};
    policy.concurrency = 4;
    policy.bufferBytes = 700;
    policy.hedgePercent = 50;
    return policy;
}

//! One action upon the model; \a pick chooses among what can be chosen.
struct Action
{
    enum Kind {
        Begin,
        FinishRun,
        FailRun,
        Pull,
        LosePull, //!< The answer does not reach the trainer.
        Acknowledge,
        Publish,
        ReopenSame,
        ReopenOther,
        StalePull, //!< A delayed pull of an old epoch at the other owner.
        KindCount,
    };
    std::uint32_t kind = 0;
    std::uint32_t pick = 0;
};

//! Two possible owners of a step, the trainer, and what the trainer must see.
class World
{
public:
    World() { open(0); }

    auto apply(const Action &action) -> void
    {
        m_now += std::chrono::milliseconds(action.pick % 200);
        switch (action.kind) {
        case Action::Begin:
            return begin(action.pick % OWNERS);
        case Action::FinishRun:
            return finish(action.pick % OWNERS, action.pick / OWNERS);
        case Action::FailRun:
            return fail(action.pick % OWNERS, action.pick / OWNERS);
        case Action::Pull:
            return pull(1 + action.pick % 4, true);
        case Action::LosePull:
            return pull(1 + action.pick % 4, false);
        case Action::Acknowledge:
            m_acknowledge = true;
            return;
        case Action::Publish:
            ++m_version;
            return;
        case Action::ReopenSame:
            return open(m_owner);
        case Action::ReopenOther:
            return open(1 - m_owner);
        default:
            return stalePull(1 - m_owner);
        }
    }

    //! From here on nothing fails; every slot must arrive.
    auto settle() -> void
    {
        for (auto round = 0; round < 200 && !m_complete; ++round) {
            m_now += std::chrono::seconds(3);
            m_acknowledge = true;
            begin(m_owner);
            while (!m_runs[m_owner].empty())
                finish(m_owner, 0);
            pull(8, true);
        }
        RC_ASSERT(m_complete);
        RC_ASSERT(m_held.size() == std::size_t(8));
    }

private:
    struct Run
    {
        AttemptId attempt = 0;
        std::string slot;
    };

    auto machine(std::size_t owner) -> StepMachine & { return *m_machines[owner]; }

    auto open(std::size_t owner) -> void
    {
        m_owner = owner;
        ++m_epoch;
        auto held = std::vector<std::string>();
        for (const auto &[slot, id] : m_held)
            held.push_back(slot);
        m_acknowledgedSlots.insert(held.begin(), held.end());
        if (m_machines[owner] == nullptr)
            m_machines[owner] =
                std::make_unique<StepMachine>(makeSpec(m_epoch, held), makePolicy());
        else
            machine(owner).reopen(m_epoch, held);
        dropCancelled(owner);
    }

    auto begin(std::size_t owner) -> void
    {
        if (m_machines[owner] == nullptr)
            return;
        machine(owner).noteVersion(m_version);
        while (const auto start = machine(owner).nextStart(m_now)) {
            const auto slot = machine(owner).slotName(start->group, start->index);
            const auto same = [&slot](const Run &run) { return run.slot == slot; };
            const auto beside = std::count_if(m_runs[owner].begin(), m_runs[owner].end(), same);
            RC_ASSERT(beside == (start->hedge ? 1 : 0));
            RC_ASSERT(start->minWeightVersion + BOUND >= m_version);
            m_runs[owner].push_back(Run { start->attempt, slot });
        }
        RC_ASSERT(m_runs[owner].size() <= makePolicy().concurrency);
        RC_ASSERT(machine(owner).bufferedBytes() <= makePolicy().bufferBytes);
    }

    auto takeRun(std::size_t owner, std::uint32_t pick) -> std::optional<Run>
    {
        auto &runs = m_runs[owner];
        if (runs.empty())
            return std::nullopt;
        const auto at = runs.begin() + pick % runs.size();
        const auto run = *at;
        runs.erase(at);
        return run;
    }

    auto finish(std::size_t owner, std::uint32_t pick) -> void
    {
        const auto run = takeRun(owner, pick);
        if (!run)
            return;
        auto sample = Sample {};
        sample.text = base::concat(owner, ":", run->attempt);
        const auto first = m_version - std::min<std::uint64_t>(m_version, pick % 4);
        sample.ranges = { { first, 0, 1 }, { m_version, 1, TOKENS - 1 } };
        machine(owner).finish(run->attempt, sample, m_now);
        dropCancelled(owner);
        RC_ASSERT(machine(owner).bufferedBytes() <= makePolicy().bufferBytes);
    }

    auto fail(std::size_t owner, std::uint32_t pick) -> void
    {
        const auto run = takeRun(owner, pick);
        if (run)
            RC_ASSERT(machine(owner).fail(run->attempt, m_now,
                                          std::chrono::milliseconds(pick % 300), pick % 3 == 0));
    }

    auto dropCancelled(std::size_t owner) -> void
    {
        for (const auto attempt : machine(owner).takeCancelled())
            std::erase_if(m_runs[owner],
                          [attempt](const Run &run) { return run.attempt == attempt; });
    }

    auto pull(std::uint32_t max, bool arrives) -> void
    {
        auto &owner = machine(m_owner);
        RC_ASSERT(owner.checkEpoch(m_epoch) == EpochCheck::Current);
        owner.noteVersion(m_version);
        auto acknowledge = std::vector<std::string>();
        if (m_acknowledge)
            acknowledge = std::exchange(m_unacknowledged, {});
        m_acknowledgedSlots.insert(acknowledge.begin(), acknowledge.end());
        m_acknowledge = false;
        const auto result = owner.pull(acknowledge, max, m_now);
        dropCancelled(m_owner);
        for (const auto &delivery : result.deliveries)
            check(delivery, arrives);
        if (arrives)
            m_complete = result.complete;
    }

    auto check(const Delivery &delivery, bool arrives) -> void
    {
        RC_ASSERT(delivery.sample.oldestVersion() + BOUND >= m_version);
        RC_ASSERT(!m_acknowledgedSlots.contains(delivery.slot));
        const auto [known, isNew] = m_contents.emplace(delivery.sampleId, delivery.sample);
        RC_ASSERT(known->second == delivery.sample);
        RC_ASSERT(delivery.repeated == !isNew);
        if (!arrives)
            return;
        m_unacknowledged.push_back(delivery.slot);
        m_held.emplace(delivery.slot, delivery.sampleId);
    }

    auto stalePull(std::size_t owner) -> void
    {
        if (m_machines[owner] == nullptr)
            return;
        RC_ASSERT(machine(owner).epoch() < m_epoch);
        RC_ASSERT(machine(owner).checkEpoch(m_epoch) == EpochCheck::Unknown);
        RC_ASSERT(machine(m_owner).checkEpoch(machine(owner).epoch()) == EpochCheck::Stale);
    }

    std::array<std::unique_ptr<StepMachine>, OWNERS> m_machines;
    std::array<std::vector<Run>, OWNERS> m_runs;
    std::map<std::string, Sample> m_contents;  //!< By sample id, all that were ever handed out.
    std::map<std::string, std::string> m_held; //!< Slot to the sample that the trainer uses.
    std::set<std::string> m_acknowledgedSlots;
    std::vector<std::string> m_unacknowledged;
    std::size_t m_owner = 0;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_version = 5;
    base::TimePoint m_now {};
    bool m_acknowledge = false;
    bool m_complete = false;
};

auto genAction() -> rc::Gen<Action>
{
    return rc::gen::map(rc::gen::pair(rc::gen::inRange<std::uint32_t>(0, Action::KindCount),
                                      rc::gen::inRange<std::uint32_t>(0, 1000)),
                        [](const std::pair<std::uint32_t, std::uint32_t> &pair) {
                            return Action { pair.first, pair.second };
                        });
}

auto showValue(const Action &action, std::ostream &output) -> void
{
    output << "{" << action.kind << ", " << action.pick << "}";
}

} // namespace

RC_GTEST_PROP(Step, Machine_EachSlotArrivesOnceFreshAndUnchanged, ())
{
    const auto actions = *rc::gen::scale(4, rc::gen::container<std::vector<Action>>(genAction()));
    auto world = World();
    for (const auto &action : actions)
        world.apply(action);
    world.settle();
}

TEST(Step, Machine_AStepOfManyLongSamplesStaysWithinItsBuffer)
{
    constexpr auto SLOTS = std::uint32_t(4096);
    constexpr auto LONG = std::uint32_t(8192);
    auto spec = makeSpec(1, {});
    spec.groups = { { "g", "prompt", SLOTS, LONG, 1 } };
    auto policy = StepPolicy {};
    auto machine = StepMachine(spec, policy);
    auto worst = std::uint64_t(0);
    auto rounds = 0;
    for (auto complete = false; !complete; ++rounds) {
        const auto now = base::TimePoint(std::chrono::seconds(rounds));
        auto runs = std::vector<AttemptId>();
        while (const auto start = machine.nextStart(now))
            runs.push_back(start->attempt);
        for (const auto run : runs)
            machine.finish(run, Sample { std::string(LONG * 7, 'a'), { { 1, 0, LONG } }, {} }, now);
        worst = std::max(worst, machine.bufferedBytes());
        auto acknowledge = std::vector<std::string>();
        for (const auto &delivery : machine.pull({}, SLOTS, now).deliveries)
            acknowledge.push_back(delivery.slot);
        complete = machine.pull(acknowledge, 1, now).complete;
        ASSERT_LT(rounds, 2 * static_cast<int>(SLOTS));
    }
    EXPECT_LE(worst, policy.bufferBytes);
}

TEST(Step, Machine_StartsTheLongestFirstUnlessTheBaselineIsChosen)
{
    auto policy = makePolicy();
    auto machine = StepMachine(makeSpec(1, {}), policy);
    EXPECT_EQ(machine.nextStart({})->group, 1U);
    policy.longestFirst = false;
    auto baseline = StepMachine(makeSpec(1, {}), policy);
    EXPECT_EQ(baseline.nextStart({})->group, 0U);
}

TEST(Step, Machine_HedgesASlowLastRunWithinItsBudget)
{
    auto spec = makeSpec(1, {});
    auto policy = StepPolicy {};
    auto machine = StepMachine(spec, policy);
    auto runs = std::vector<AttemptId>();
    while (const auto start = machine.nextStart({}))
        runs.push_back(start->attempt);
    ASSERT_EQ(runs.size(), std::size_t(8));
    const auto soon = base::TimePoint(std::chrono::seconds(1));
    for (auto index = std::size_t(0); index < 6; ++index)
        machine.finish(runs[index], Sample { "t", { { 1, 0, TOKENS } }, {} }, soon);
    EXPECT_FALSE(machine.nextStart(soon));
    const auto late = base::TimePoint(std::chrono::seconds(30));
    const auto hedge = machine.nextStart(late);
    ASSERT_TRUE(hedge);
    EXPECT_TRUE(hedge->hedge);
    EXPECT_FALSE(machine.nextStart(late)); // The budget is one of eight.
    EXPECT_EQ(machine.finish(hedge->attempt, Sample { "h", { { 1, 0, TOKENS } }, {} }, late),
              Finish::Kept);
    EXPECT_EQ(machine.takeCancelled(), std::vector<AttemptId> { runs[6] });
}
