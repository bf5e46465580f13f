#include "version/lease/internal/leasemachine.h"

#include <random>

#include <boost/json.hpp>
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "base/text.h"
#include "version/state/internal/replay.h"

using namespace nutmegplank;
using namespace nutmegplank::version;
using namespace nutmegplank::version::lease;

namespace {

constexpr auto SCOPE = "plan";
constexpr auto TERM = base::Duration(300'000);
constexpr auto STEP = base::Duration(10'000);

//! A simulated process with its own clock offset from the true time; it may be suspended.
struct Node
{
    LeaseMachine machine;
    state::Replay replay;
    base::Duration clockOffset {};
    std::int64_t pausedUntil = 0; //!< Simulation step.
    std::size_t readCount = 0;    //!< Number of log records read.
    bool readsLog = true;
    std::uint64_t lastId = 0;
};

//! A record sent but not yet appended to the log.
struct InFlight
{
    std::int64_t arrives = 0; //!< Simulation step.
    state::Record record;
};

//! Simulates a log and several processes with a known true time.
class Simulation
{
public:
    Simulation(std::size_t nodes, std::uint64_t seed)
        : m_random(seed)
    {
        for (auto index = std::size_t(0); index < nodes; ++index) {
            const auto holder = base::concat("n", index, "#1");
            m_nodes.push_back(Node { LeaseMachine(SCOPE, holder, deriveLeaseTimes(TERM)), {} });
            m_nodes.back().clockOffset = std::chrono::seconds(randomBelow(1000));
        }
    }

    auto run(std::int64_t steps) -> void
    {
        for (m_step = 1; m_step <= steps; ++m_step) {
            deliver();
            for (auto index = std::size_t(0); index < m_nodes.size(); ++index)
                runNode(index);
            checkHolders();
        }
    }

    auto holderChanges() const -> std::size_t { return m_fencingNumbers.size(); }

private:
    auto randomBelow(int limit) -> int
    {
        return std::uniform_int_distribution(0, limit - 1)(m_random);
    }

    auto now(const Node &node) const -> base::TimePoint
    {
        return base::TimePoint(node.clockOffset + m_step * STEP);
    }

    auto deliver() -> void
    {
        auto later = std::vector<InFlight>();
        for (auto &appendInFlight : m_inFlight) {
            if (appendInFlight.arrives > m_step) {
                later.push_back(std::move(appendInFlight));
                continue;
            }
            appendInFlight.record.offset = m_log.size() + 1;
            m_log.push_back(std::move(appendInFlight.record));
        }
        m_inFlight = std::move(later);
    }

    auto runNode(std::size_t index) -> void
    {
        auto &node = m_nodes[index];
        if (m_step < node.pausedUntil)
            return;
        if (randomBelow(60) == 0) {
            node.pausedUntil = m_step + 1 + randomBelow(150);
            return;
        }
        if (randomBelow(40) == 0)
            node.readsLog = !node.readsLog;
        if (node.readsLog)
            read(node);
        const auto id = base::concat("n", index, "/", ++node.lastId);
        const auto action = node.machine.next(now(node), true, id);
        if (action)
            send(index, *action);
    }

    auto read(Node &node) -> void
    {
        while (node.readCount < m_log.size())
            node.replay.apply(m_log[node.readCount++]);
        const auto state = node.replay.copyState();
        const auto found = state->leases.find(SCOPE);
        node.machine.observe(found == state->leases.end() ? nullptr : &found->second, now(node));
    }

    //! Simulates lost, late and duplicate appends.
    auto send(std::size_t index, const LeaseAction &action) -> void
    {
        auto record = state::Record { 0, action.recordId, {} };
        const auto claim = action.kind == LeaseActionKind::Claim;
        record.body = { { "kind", claim ? "lease_claim" : "lease_renewal" },
                        { "scope", SCOPE },
                        { "holder", base::concat("n", index, "#1") },
                        { "supersedes", action.supersedes },
                        { "fencing_number", action.fencingNumber },
                        { "term_ms", base::toMilliseconds(TERM) } };
        const auto copies = randomBelow(4);
        for (auto copy = 0; copy < copies; ++copy) {
            const auto slow = randomBelow(8) == 0;
            const auto delay = randomBelow(slow ? 120 : 4);
            m_inFlight.push_back(InFlight { m_step + 1 + delay, record });
        }
    }

    //! A suspended process acts on its state machine's answer when it resumes, so the check covers
    //! every node at every step.
    auto checkHolders() -> void
    {
        auto holders = 0;
        for (const auto &node : m_nodes) {
            const auto number = node.machine.fencingNumber(now(node));
            if (!number)
                continue;
            ++holders;
            RC_ASSERT((m_fencingNumbers.empty() || *number >= *m_fencingNumbers.rbegin()));
            m_fencingNumbers.insert(*number);
        }
        RC_ASSERT(holders <= 1);
    }

    std::mt19937_64 m_random;
    std::int64_t m_step = 0;
    std::vector<Node> m_nodes;
    std::vector<state::Record> m_log;
    std::vector<InFlight> m_inFlight;
    std::set<std::uint64_t> m_fencingNumbers;
};

auto atMilliseconds(std::int64_t milliseconds) -> base::TimePoint
{
    return base::TimePoint(std::chrono::milliseconds(milliseconds));
}

auto makeLeaseState(const std::string &holder, std::uint64_t offset, const std::string &id)
    -> state::LeaseState
{
    return state::LeaseState { SCOPE, holder, 1, offset, id, TERM };
}

} // namespace

TEST(LeaseMachine, LeaseMachine_RandomFaults_AtMostOneHolder)
{
    auto holderChanges = std::size_t(0);
    EXPECT_TRUE(rc::check([&holderChanges] {
        const auto nodes = *rc::gen::inRange(2, 5);
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        auto simulation = Simulation(static_cast<std::size_t>(nodes), seed);
        simulation.run(800);
        holderChanges += simulation.holderChanges();
    }));
    // The property is only exercised if the lease moves between processes.
    EXPECT_GT(holderChanges, 100U);
}

TEST(LeaseMachine, LeaseMachine_Term_StartsAtSendAndCountsAfterReadBack)
{
    auto machine = LeaseMachine(SCOPE, "a", deriveLeaseTimes(TERM));
    EXPECT_FALSE(machine.next(atMilliseconds(100), true, "x")) << "no lease state was observed yet";
    machine.observe(nullptr, atMilliseconds(100));
    ASSERT_TRUE(machine.next(atMilliseconds(400), true, "x"));
    EXPECT_FALSE(machine.fencingNumber(atMilliseconds(401)));
    const auto held = makeLeaseState("a", 1, "x");
    machine.observe(&held, atMilliseconds(600));
    EXPECT_TRUE(machine.fencingNumber(atMilliseconds(699)));
    EXPECT_FALSE(machine.fencingNumber(atMilliseconds(700)));
}

TEST(LeaseMachine, LeaseMachine_Claim_WaitsForTermAndMarginUnlessReleased)
{
    auto machine = LeaseMachine(SCOPE, "a", deriveLeaseTimes(TERM));
    auto held = makeLeaseState("b", 1, "y");
    machine.observe(&held, atMilliseconds(0));
    EXPECT_FALSE(machine.next(atMilliseconds(374), true, "x"));
    EXPECT_FALSE(machine.next(atMilliseconds(376), false, "x"));
    held.holder.clear();
    held.lastRenewalOffset = 2;
    machine.observe(&held, atMilliseconds(380));
    const auto action = machine.next(atMilliseconds(380), true, "x");
    ASSERT_TRUE(action);
    EXPECT_EQ(action->supersedes, 2U);
    EXPECT_FALSE(machine.release());
}
