#include <array>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "base/text.h"
#include "request/step/internal/stepmachine.h"

using namespace nutmegplank;
using namespace nutmegplank::request::step;

namespace {

constexpr auto MAX_STALENESS = std::uint64_t(2);
constexpr auto TOKEN_COUNT = std::uint32_t(16);
constexpr auto OWNER_COUNT = std::size_t(2);

auto makeSpec(std::uint64_t epoch, std::vector<std::string> held) -> StepSpec
{
    auto spec = StepSpec {};
    spec.stepName = "s";
    spec.epoch = epoch;
    spec.service = "engine";
    spec.maxStaleness = MAX_STALENESS;
    spec.groups = { { "g", "prompt", 5, TOKEN_COUNT, 1 }, { "h", "other", 3, 2 * TOKEN_COUNT, 9 } };
    spec.heldSlots = std::move(held);
    return spec;
}

auto makePolicy() -> StepPolicy
{
    auto policy = StepPolicy {};
    policy.maxConcurrency = 4;
    policy.maxBufferBytes = 700;
    policy.hedgeBudgetPercent = 50;
    return policy;
}

//! A random action on the model; \a choice selects its parameters.
struct Action
{
    enum Kind {
        StartRuns,
        FinishRun,
        FailRun,
        Pull,
        PullWithLostResponse, //!< The response does not reach the trainer.
        Acknowledge,
        PublishWeights,
        ReopenAtOwner,
        ReopenAtOtherOwner,
        StalePull, //!< A delayed pull with an old epoch, at the other owner.
        KindCount,
    };
    std::uint32_t kind = 0;
    std::uint32_t choice = 0;
};

//! Two processes that may own a step, its trainer, and the guarantees to the trainer as assertions.
class StepModel
{
public:
    StepModel() { open(0); }

    auto apply(const Action &action) -> void
    {
        m_now += std::chrono::milliseconds(action.choice % 200);
        switch (action.kind) {
        case Action::StartRuns:
            return startRuns(action.choice % OWNER_COUNT);
        case Action::FinishRun:
            return finish(action.choice % OWNER_COUNT, action.choice / OWNER_COUNT);
        case Action::FailRun:
            return fail(action.choice % OWNER_COUNT, action.choice / OWNER_COUNT);
        case Action::Pull:
            return pull(1 + action.choice % 4, true);
        case Action::PullWithLostResponse:
            return pull(1 + action.choice % 4, false);
        case Action::Acknowledge:
            m_acknowledgeNextPull = true;
            return;
        case Action::PublishWeights:
            ++m_weightVersion;
            return;
        case Action::ReopenAtOwner:
            return open(m_owner);
        case Action::ReopenAtOtherOwner:
            return open(1 - m_owner);
        default:
            return stalePull(1 - m_owner);
        }
    }

    //! Runs without faults until the step is complete; all slots must have arrived.
    auto completeWithoutFaults() -> void
    {
        for (auto round = 0; round < 200 && !m_complete; ++round) {
            m_now += std::chrono::seconds(3);
            m_acknowledgeNextPull = true;
            startRuns(m_owner);
            while (!m_runs[m_owner].empty())
                finish(m_owner, 0);
            pull(8, true);
        }
        RC_ASSERT(m_complete);
        RC_ASSERT(m_heldSamples.size() == std::size_t(8));
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
        for (const auto &[slot, id] : m_heldSamples)
            held.push_back(slot);
        m_acknowledgedSlots.insert(held.begin(), held.end());
        if (m_machines[owner] == nullptr)
            m_machines[owner] =
                std::make_unique<StepMachine>(makeSpec(m_epoch, held), makePolicy());
        else
            machine(owner).reopen(m_epoch, held);
        dropCancelled(owner);
    }

    auto startRuns(std::size_t owner) -> void
    {
        if (m_machines[owner] == nullptr)
            return;
        machine(owner).noteVersion(m_weightVersion);
        while (const auto start = machine(owner).nextStart(m_now)) {
            const auto slot = machine(owner).slotName(start->group, start->index);
            const auto isSameSlot = [&slot](const Run &run) { return run.slot == slot; };
            const auto sameSlotRuns =
                std::count_if(m_runs[owner].begin(), m_runs[owner].end(), isSameSlot);
            RC_ASSERT(sameSlotRuns == (start->hedge ? 1 : 0));
            RC_ASSERT(start->minWeightVersion + MAX_STALENESS >= m_weightVersion);
            m_runs[owner].push_back(Run { start->attempt, slot });
        }
        RC_ASSERT(m_runs[owner].size() <= makePolicy().maxConcurrency);
        RC_ASSERT(machine(owner).bufferedBytes() <= makePolicy().maxBufferBytes);
    }

    auto takeRun(std::size_t owner, std::uint32_t choice) -> std::optional<Run>
    {
        auto &runs = m_runs[owner];
        if (runs.empty())
            return std::nullopt;
        const auto at = runs.begin() + choice % runs.size();
        const auto run = *at;
        runs.erase(at);
        return run;
    }

    auto finish(std::size_t owner, std::uint32_t choice) -> void
    {
        const auto run = takeRun(owner, choice);
        if (!run)
            return;
        auto sample = Sample {};
        sample.text = base::concat(owner, ":", run->attempt);
        const auto first = m_weightVersion - std::min<std::uint64_t>(m_weightVersion, choice % 4);
        sample.ranges = { { first, 0, 1 }, { m_weightVersion, 1, TOKEN_COUNT - 1 } };
        machine(owner).finish(run->attempt, sample, m_now);
        dropCancelled(owner);
        RC_ASSERT(machine(owner).bufferedBytes() <= makePolicy().maxBufferBytes);
    }

    auto fail(std::size_t owner, std::uint32_t choice) -> void
    {
        const auto run = takeRun(owner, choice);
        if (run)
            RC_ASSERT(machine(owner).fail(
                run->attempt, m_now, std::chrono::milliseconds(choice % 300), choice % 3 == 0));
    }

    auto dropCancelled(std::size_t owner) -> void
    {
        for (const auto attempt : machine(owner).takeCancelled())
            std::erase_if(m_runs[owner],
                          [attempt](const Run &run) { return run.attempt == attempt; });
    }

    auto pull(std::uint32_t max, bool isReceived) -> void
    {
        auto &owner = machine(m_owner);
        RC_ASSERT(owner.checkEpoch(m_epoch) == EpochCheck::Current);
        owner.noteVersion(m_weightVersion);
        auto acknowledge = std::vector<std::string>();
        if (m_acknowledgeNextPull)
            acknowledge = std::exchange(m_unacknowledged, {});
        m_acknowledgedSlots.insert(acknowledge.begin(), acknowledge.end());
        m_acknowledgeNextPull = false;
        const auto result = owner.pull(acknowledge, max, m_now);
        dropCancelled(m_owner);
        for (const auto &delivery : result.deliveries)
            checkDelivery(delivery, isReceived);
        if (isReceived)
            m_complete = result.complete;
    }

    auto checkDelivery(const Delivery &delivery, bool isReceived) -> void
    {
        RC_ASSERT(delivery.sample.oldestVersion() + MAX_STALENESS >= m_weightVersion);
        RC_ASSERT(!m_acknowledgedSlots.contains(delivery.slot));
        const auto [known, isNew] = m_deliveredSamples.emplace(delivery.sampleId, delivery.sample);
        RC_ASSERT(known->second == delivery.sample);
        RC_ASSERT(delivery.repeated == !isNew);
        if (!isReceived)
            return;
        m_unacknowledged.push_back(delivery.slot);
        m_heldSamples.emplace(delivery.slot, delivery.sampleId);
    }

    auto stalePull(std::size_t owner) -> void
    {
        if (m_machines[owner] == nullptr)
            return;
        RC_ASSERT(machine(owner).epoch() < m_epoch);
        RC_ASSERT(machine(owner).checkEpoch(m_epoch) == EpochCheck::Unknown);
        RC_ASSERT(machine(m_owner).checkEpoch(machine(owner).epoch()) == EpochCheck::Stale);
    }

    std::array<std::unique_ptr<StepMachine>, OWNER_COUNT> m_machines;
    std::array<std::vector<Run>, OWNER_COUNT> m_runs;
    std::map<std::string, Sample> m_deliveredSamples; //!< All samples ever delivered, by sample id.
    //! Slot name to id of the sample that the trainer uses.
    std::map<std::string, std::string> m_heldSamples;
    std::set<std::string> m_acknowledgedSlots;
    std::vector<std::string> m_unacknowledged;
    std::size_t m_owner = 0;
    std::uint64_t m_epoch = 0;
    std::uint64_t m_weightVersion = 5;
    base::TimePoint m_now {};
    bool m_acknowledgeNextPull = false;
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
    output << "{" << action.kind << ", " << action.choice << "}";
}

} // namespace

// Lost responses, failed runs, new weights and reopening at another process must not make the
// trainer miss a slot, or receive one too old, again after its acknowledgement, or with changed
// content.
RC_GTEST_PROP(Step, Step_Machine_DeliversEachSlotOnceFreshAndUnchanged, ())
{
    const auto actions = *rc::gen::scale(4, rc::gen::container<std::vector<Action>>(genAction()));
    auto model = StepModel();
    for (const auto &action : actions)
        model.apply(action);
    model.completeWithoutFaults();
}

// Guards against unbounded memory: the samples take 235 MB together, the buffer holds 8 MiB.
TEST(Step, Step_Machine_ManyLongSamplesStayWithinTheBufferLimit)
{
    constexpr auto SLOTS = std::uint32_t(4096);
    constexpr auto LONG = std::uint32_t(8192);
    auto spec = makeSpec(1, {});
    spec.groups = { { "g", "prompt", SLOTS, LONG, 1 } };
    auto policy = StepPolicy {};
    auto machine = StepMachine(spec, policy);
    auto mostBufferedBytes = std::uint64_t(0);
    auto rounds = 0;
    for (auto complete = false; !complete; ++rounds) {
        const auto now = base::TimePoint(std::chrono::seconds(rounds));
        auto runs = std::vector<AttemptId>();
        while (const auto start = machine.nextStart(now))
            runs.push_back(start->attempt);
        for (const auto run : runs)
            machine.finish(run, Sample { std::string(LONG * 7, 'a'), { { 1, 0, LONG } }, {} }, now);
        mostBufferedBytes = std::max(mostBufferedBytes, machine.bufferedBytes());
        auto acknowledge = std::vector<std::string>();
        for (const auto &delivery : machine.pull({}, SLOTS, now).deliveries)
            acknowledge.push_back(delivery.slot);
        complete = machine.pull(acknowledge, 1, now).complete;
        ASSERT_LT(rounds, 2 * static_cast<int>(SLOTS));
    }
    EXPECT_LE(mostBufferedBytes, policy.maxBufferBytes);
}

TEST(Step, Step_Machine_StartsLongestGenerationsFirstUnlessDisabled)
{
    auto policy = makePolicy();
    auto machine = StepMachine(makeSpec(1, {}), policy);
    EXPECT_EQ(machine.nextStart({})->group, 1U);
    policy.longestFirst = false;
    auto baseline = StepMachine(makeSpec(1, {}), policy);
    EXPECT_EQ(baseline.nextStart({})->group, 0U);
}

TEST(Step, Step_Machine_HedgesSlowGenerationsWithinItsBudget)
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
        machine.finish(runs[index], Sample { "t", { { 1, 0, TOKEN_COUNT } }, {} }, soon);
    EXPECT_FALSE(machine.nextStart(soon));
    const auto late = base::TimePoint(std::chrono::seconds(30));
    const auto hedge = machine.nextStart(late);
    ASSERT_TRUE(hedge);
    EXPECT_TRUE(hedge->hedge);
    EXPECT_FALSE(machine.nextStart(late)); // 5% of 8 slots allow one hedge.
    EXPECT_EQ(machine.finish(hedge->attempt, Sample { "h", { { 1, 0, TOKEN_COUNT } }, {} }, late),
              FinishResult::Kept);
    EXPECT_EQ(machine.takeCancelled(), std::vector<AttemptId> { runs[6] });
}
