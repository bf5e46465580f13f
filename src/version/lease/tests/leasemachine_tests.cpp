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

//! A process with a clock of its own: an offset from the true time, and pauses.
struct Node
{
    LeaseMachine machine;
    state::Replay replay;
    base::Duration clockOffset {};
    std::int64_t pausedUntil = 0; //!< True step.
    std::size_t readUpTo = 0;     //!< Records of the log that it has read.
    bool readsLog = true;
    std::uint64_t ids = 0;
};

//! A record on its way to the log.
struct InFlight
{
    std::int64_t arrives = 0; //!< True step.
    state::Record record;
};

//! A log and processes in one place, with the true time known.
class Simulation
{
public:
    Simulation(std::size_t nodes, std::uint64_t seed)
        : m_random(seed)
    {
        for (auto index = std::size_t(0); index < nodes; ++index) {
            const auto holder = base::concat("n", index, "#1");
            m_nodes.push_back(Node { LeaseMachine(SCOPE, holder, deriveLeaseTimes(TERM)), {} });
            m_nodes.back().clockOffset = std::chrono::seconds(any(1000));
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

    auto takeovers() const -> std::size_t { return m_fencingNumbers.size(); }

private:
    auto any(int most) -> int { return std::uniform_int_distribution(0, most - 1)(m_random); }

    auto now(const Node &node) const -> base::TimePoint
    {
        return base::TimePoint(node.clockOffset + m_step * STEP);
    }

    auto deliver() -> void
    {
        auto later = std::vector<InFlight>();
        for (auto &flight : m_flights) {
            if (flight.arrives > m_step) {
                later.push_back(std::move(flight));
                continue;
            }
            flight.record.offset = m_log.size() + 1;
            m_log.push_back(std::move(flight.record));
        }
        m_flights = std::move(later);
    }

    auto runNode(std::size_t index) -> void
    {
        auto &node = m_nodes[index];
        if (m_step < node.pausedUntil)
            return;
        if (any(60) == 0) {
            node.pausedUntil = m_step + 1 + any(150);
            return;
        }
        if (any(40) == 0)
            node.readsLog = !node.readsLog;
        if (node.readsLog)
            read(node);
        const auto id = base::concat("n", index, "/", ++node.ids);
        const auto action = node.machine.next(now(node), true, id);
        if (action)
            send(index, *action);
    }

    auto read(Node &node) -> void
    {
        while (node.readUpTo < m_log.size())
            node.replay.apply(m_log[node.readUpTo++]);
        const auto state = node.replay.publish();
        const auto found = state->leases.find(SCOPE);
        node.machine.observe(found == state->leases.end() ? nullptr : &found->second, now(node));
    }

    //! Lost appends, late ones, and repeats that stand twice in the log.
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
        const auto copies = any(4);
        for (auto copy = 0; copy < copies; ++copy) {
            const auto slow = any(8) == 0;
            const auto delay = any(slow ? 120 : 4);
            m_flights.push_back(InFlight { m_step + 1 + delay, record });
        }
    }

    //! A paused process would believe what its machine says at the time it goes on, so each one is
    //! asked at every true time.
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
    std::vector<InFlight> m_flights;
    std::set<std::uint64_t> m_fencingNumbers;
};

auto at(std::int64_t milliseconds) -> base::TimePoint
{
    return base::TimePoint(std::chrono::milliseconds(milliseconds));
}

auto heldBy(const std::string &holder, std::uint64_t offset, const std::string &id)
    -> state::LeaseState
{
    return state::LeaseState { SCOPE, holder, 1, offset, id, TERM };
}

} // namespace

TEST(LeaseMachine, LeaseMachine_Fuzz_NeverTwoHoldersAtOneTime)
{
    auto takeovers = std::size_t(0);
    EXPECT_TRUE(rc::check([&takeovers] {
        const auto nodes = *rc::gen::inRange(2, 5);
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        auto simulation = Simulation(static_cast<std::size_t>(nodes), seed);
        simulation.run(800);
        takeovers += simulation.takeovers();
    }));
    // The fuzz is worth something only if the lease changes hands.
    EXPECT_GT(takeovers, 100U);
}

TEST(LeaseMachine, LeaseMachine_Term_CountsFromBeforeSendingAndOnlyAfterReadingBack)
{
    auto machine = LeaseMachine(SCOPE, "a", deriveLeaseTimes(TERM));
    EXPECT_FALSE(machine.next(at(100), true, "x")) << "nothing read yet";
    machine.observe(nullptr, at(100));
    ASSERT_TRUE(machine.next(at(400), true, "x"));
    EXPECT_FALSE(machine.fencingNumber(at(401)));
    const auto held = heldBy("a", 1, "x");
    machine.observe(&held, at(600));
    EXPECT_TRUE(machine.fencingNumber(at(699)));
    EXPECT_FALSE(machine.fencingNumber(at(700)));
}

TEST(LeaseMachine, LeaseMachine_Claim_WaitsForTermAndMarginUnlessReleased)
{
    auto machine = LeaseMachine(SCOPE, "a", deriveLeaseTimes(TERM));
    auto held = heldBy("b", 1, "y");
    machine.observe(&held, at(0));
    EXPECT_FALSE(machine.next(at(374), true, "x"));
    EXPECT_FALSE(machine.next(at(376), false, "x"));
    held.holder.clear();
    held.lastRenewalOffset = 2;
    machine.observe(&held, at(380));
    const auto action = machine.next(at(380), true, "x");
    ASSERT_TRUE(action);
    EXPECT_EQ(action->supersedes, 2U);
    EXPECT_FALSE(machine.release());
}
