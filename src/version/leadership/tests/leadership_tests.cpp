#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <tuple>

#include "version/leadership/leadership.h"

using namespace nutmegplank;
using namespace nutmegplank::version;
using namespace nutmegplank::version::leadership;
using namespace std::chrono_literals;

namespace {

const auto START = base::TimePoint(base::Duration(1h));

//! The log partition of the lease; an append may be conditional on the end offset.
class FakeLog
{
public:
    auto append(const LeaseAction &action) -> bool
    {
        if (action.at.has_value() && *action.at != records.size())
            return false;
        records.push_back({ records.size(), action.record.SerializeAsString() });
        return true;
    }

    std::vector<journal::Record> records;
};

//! A process and its read position in the log.
class Process
{
public:
    explicit Process(const std::string &name, LeaseTimes times = {})
        : Process(Candidate { name, name }, times)
    { }
    explicit Process(Candidate candidate, LeaseTimes times = {})
        : lease(std::move(candidate), times)
    { }

    auto readAll(const FakeLog &log, base::TimePoint now) -> void
    {
        for (; m_position < log.records.size(); ++m_position)
            lease.apply(log.records[m_position], now);
        answeredAt = now;
    }

    Leadership lease;
    base::TimePoint answeredAt {};

private:
    std::size_t m_position = 0;
};

auto step(Process &process, FakeLog &log, base::TimePoint now) -> void
{
    const auto action = process.lease.next(now, { process.answeredAt }, true);
    if (action.has_value())
        log.append(*action);
}

} // namespace

TEST(Leadership, Leadership_TwoConcurrentClaims_OneHolds)
{
    auto log = FakeLog();
    auto first = Process("a");
    auto second = Process("b");
    first.readAll(log, START);
    second.readAll(log, START);
    const auto claimOfFirst = first.lease.next(START, { START }, true);
    const auto claimOfSecond = second.lease.next(START, { START }, true);
    ASSERT_TRUE(claimOfFirst.has_value());
    ASSERT_TRUE(claimOfSecond.has_value());
    EXPECT_TRUE(log.append(*claimOfFirst));
    EXPECT_FALSE(log.append(*claimOfSecond));
    first.readAll(log, START + 10ms);
    second.readAll(log, START + 10ms);
    EXPECT_EQ(first.lease.fence(START + 10ms), 1U);
    EXPECT_FALSE(second.lease.fence(START + 10ms).has_value());
}

TEST(Leadership, Leadership_SuspendedHolder_HasNoFenceAfterResuming)
{
    auto log = FakeLog();
    auto holder = Process("a");
    holder.readAll(log, START);
    step(holder, log, START);
    holder.readAll(log, START + 5ms);
    ASSERT_TRUE(holder.lease.fence(START + 10ms).has_value());
    EXPECT_FALSE(holder.lease.fence(START + 4s).has_value());
    EXPECT_TRUE(holder.lease.uncontestedFence().has_value());
}

TEST(Leadership, Leadership_SilentHolder_IsReplacedAfterTermAndMargin)
{
    auto log = FakeLog();
    auto holder = Process("a");
    auto other = Process("b");
    holder.readAll(log, START);
    step(holder, log, START);
    other.readAll(log, START + 5ms);
    other.readAll(log, START + 1800ms);
    EXPECT_FALSE(other.lease.next(START + 1800ms, { START + 1800ms }, true).has_value());
    other.readAll(log, START + 2s);
    const auto claim = other.lease.next(START + 2s, { START + 2s }, true);
    ASSERT_TRUE(claim.has_value());
    log.append(*claim);
    other.readAll(log, START + 2s);
    EXPECT_EQ(other.lease.fence(START + 2s), 2U);
}

TEST(Leadership, Leadership_LogUnavailable_NoProcessClaims)
{
    auto log = FakeLog();
    auto other = Process("b");
    other.readAll(log, START);
    EXPECT_FALSE(other.lease.next(START + 5s, { START }, true).has_value());
}

//! Small machines use a claim delay, so that larger ones get the lease first.
TEST(Leadership, Leadership_ProcessWithClaimDelay_ClaimsLater)
{
    auto log = FakeLog();
    auto times = LeaseTimes();
    times.claimDelay = 800ms;
    auto small = Process("small", times);
    small.readAll(log, START);
    EXPECT_FALSE(small.lease.next(START, { START }, true).has_value());
    EXPECT_FALSE(small.lease.next(START + 500ms, { START + 500ms }, true).has_value());
    EXPECT_TRUE(small.lease.next(START + 900ms, { START + 900ms }, true).has_value());
}

TEST(Leadership, Leadership_Release_FreesTheLeaseImmediately)
{
    auto log = FakeLog();
    auto holder = Process("a");
    auto restarted = Process(Candidate { "b#2", "b", START });
    holder.readAll(log, START);
    step(holder, log, START);
    holder.readAll(log, START);
    log.append(*holder.lease.release(START));
    restarted.readAll(log, START + 20ms);
    EXPECT_TRUE(restarted.lease.next(START + 20ms, { START + 20ms }, true).has_value());
    EXPECT_FALSE(holder.lease.next(START + 2s, { START + 2s }, true).has_value());
}

TEST(Leadership, Leadership_Release_ProcessOfTheSameAgeClaimsAfterTheDelay)
{
    auto log = FakeLog();
    auto holder = Process("a");
    auto other = Process("b");
    holder.readAll(log, START);
    step(holder, log, START);
    holder.readAll(log, START);
    log.append(*holder.lease.release(START));
    other.readAll(log, START + 20ms);
    EXPECT_FALSE(other.lease.next(START + 20ms, { START + 20ms }, true).has_value());
    EXPECT_FALSE(other.lease.next(START + 150ms, { START + 20ms }, true).has_value());
    EXPECT_TRUE(other.lease.next(START + 170ms, { START + 20ms }, true).has_value());
}

TEST(Leadership, Leadership_LateRenewalOfPreviousHolder_IsIgnored)
{
    auto log = FakeLog();
    auto previous = Process("a");
    auto other = Process("b");
    previous.readAll(log, START);
    step(previous, log, START);
    previous.readAll(log, START);
    const auto late = previous.lease.next(START + 500ms, { START + 500ms }, true);
    other.readAll(log, START);
    other.readAll(log, START + 3s);
    step(other, log, START + 3s);
    log.append(*late);
    other.readAll(log, START + 3010ms);
    EXPECT_EQ(other.lease.holder(), "b");
    EXPECT_TRUE(other.lease.fence(START + 3010ms).has_value());
}

TEST(Leadership, Leadership_ClaimNoLongerInLog_IsRecoveredFromRenewal)
{
    auto renewal = record::LeaseRecord();
    renewal.set_kind(record::LEASE_RENEWAL);
    renewal.set_holder("a");
    renewal.set_fence(41);
    auto other = Leadership({ "b", "b" }, {});
    other.apply({ 900, renewal.SerializeAsString() }, START);
    EXPECT_EQ(other.holder(), "a");
    EXPECT_FALSE(other.next(START + 100ms, { START + 100ms }, true).has_value());
}

//! Processes read late, lose appends and are suspended. At most one of them may hold the lease at a
//! time, and fencing numbers must never decrease.
RC_GTEST_PROP(Leadership, Leadership_AnySchedule_AtMostOneHolder, ())
{
    auto log = FakeLog();
    auto processes = std::vector<Process>();
    for (const auto *name : { "a", "b", "c" })
        processes.emplace_back(name);
    auto now = START;
    auto highest = std::uint64_t(0);
    const auto steps =
        *rc::gen::resize(rc::kNominalSize,
                         rc::gen::container<std::vector<std::pair<int, int>>>(
                             400, rc::gen::pair(rc::gen::inRange(0, 3), rc::gen::inRange(0, 100))));
    for (const auto &[index, random] : steps) {
        now += std::chrono::milliseconds(random);
        auto &process = processes[static_cast<std::size_t>(index)];
        if (random % 7 != 0)
            process.readAll(log, now);
        const auto action = process.lease.next(now, { process.answeredAt }, true);
        if (action.has_value() && random % 5 != 0)
            log.append(*action);
        if (random == 99)
            now += 3s;
        auto holders = 0;
        for (const auto &each : processes) {
            const auto fence = each.lease.fence(now);
            if (!fence.has_value())
                continue;
            ++holders;
            RC_ASSERT(*fence >= highest);
            highest = *fence;
        }
        RC_ASSERT(holders <= 1);
    }
}

//! All machines are killed and back within a second while batches are running. The process on the
//! previous holder's machine must claim immediately instead of waiting for the lease to expire.
TEST(Leadership, Leadership_HolderRestarts_ClaimsImmediatelyWhileOthersWait)
{
    auto log = FakeLog();
    auto holder = Process(Candidate { "a#1", "a" });
    holder.readAll(log, START);
    step(holder, log, START);
    const auto restartedAt = START + 300ms;
    auto restarted = Process(Candidate { "a#2", "a" });
    auto other = Process(Candidate { "b#2", "b" });
    other.readAll(log, restartedAt);
    step(other, log, restartedAt);
    EXPECT_EQ(log.records.size(), 1U);
    restarted.readAll(log, restartedAt);
    step(restarted, log, restartedAt);
    restarted.readAll(log, restartedAt + 10ms);
    EXPECT_EQ(restarted.lease.fence(restartedAt + 10ms), std::optional<std::uint64_t>(2));
    other.readAll(log, restartedAt + 10ms);
    EXPECT_FALSE(other.lease.fence(restartedAt + 10ms).has_value());
}

TEST(Leadership, Leadership_HolderOnAnotherMachine_ClaimWaitsForExpiry)
{
    auto log = FakeLog();
    auto holder = Process(Candidate { "a#1", "a" });
    holder.readAll(log, START);
    step(holder, log, START);
    auto other = Process(Candidate { "b#1", "b" });
    other.readAll(log, START + 10ms);
    step(other, log, START + 1800ms);
    EXPECT_EQ(log.records.size(), 1U);
    other.answeredAt = START + 1950ms;
    step(other, log, START + 1950ms);
    EXPECT_EQ(log.records.size(), 2U);
}

TEST(Leadership, Leadership_MachineThatLostTheLease_ClaimsOnlyAfterThePause)
{
    auto log = FakeLog();
    auto times = LeaseTimes();
    times.pauseAfterLoss = 3s;
    times.notRestartedDelay = 0ms;
    auto first = Process("a", times);
    auto second = Process("b", times);
    first.readAll(log, START);
    step(first, log, START);
    second.readAll(log, START);
    second.readAll(log, START + 2s);
    step(second, log, START + 2s);
    first.readAll(log, START + 2s);
    second.readAll(log, START + 2s);
    log.append(*second.lease.release(START + 2s));
    first.readAll(log, START + 2100ms);
    EXPECT_FALSE(first.lease.next(START + 2100ms, { START + 2100ms }, true).has_value());
    EXPECT_FALSE(first.lease.next(START + 4900ms, { START + 4900ms }, true).has_value());
    EXPECT_TRUE(first.lease.next(START + 5100ms, { START + 5100ms }, true).has_value());
}

TEST(Leadership, Leadership_UncheckedCall_EndsBeforeTheTerm)
{
    auto log = FakeLog();
    auto holder = Process("a");
    holder.readAll(log, START);
    step(holder, log, START);
    holder.readAll(log, START + 5ms);
    const auto term = LeaseTimes().term;
    EXPECT_EQ(holder.lease.uncheckedCallLimit(START + 5ms),
              START + term - LeaseTimes().uncheckedCallMargin);
    EXPECT_FALSE(holder.lease.uncheckedCallLimit(START + term - 50ms).has_value());
    EXPECT_TRUE(holder.lease.fence(START + term - 50ms).has_value());
}

namespace {

//! A call as its peer sees it.
struct ArrivedCall
{
    base::TimePoint at;
    std::uint64_t fence = 0;
    std::string machine;
};

constexpr auto NETWORK_DELAY = std::chrono::milliseconds(80);
constexpr auto RESTART_TIME = std::chrono::milliseconds(200);
constexpr auto HOLDER_TURN = std::chrono::seconds(3);

auto checkOrder(std::vector<ArrivedCall> calls) -> void
{
    std::ranges::stable_sort(calls, {}, &ArrivedCall::at);
    auto highest = std::uint64_t(0);
    auto lastOf = std::map<std::string, base::TimePoint>();
    auto previous = std::string();
    for (const auto &call : calls) {
        RC_ASSERT(call.fence >= highest);
        highest = call.fence;
        const auto last = lastOf.find(call.machine);
        if (previous != call.machine && last != lastOf.end())
            RC_ASSERT(call.at - last->second > HOLDER_TURN);
        lastOf[call.machine] = call.at;
        previous = call.machine;
    }
}

} // namespace

//! Peers that check no fencing numbers: holders are suspended, lose appends, release the lease or
//! restart, and the network holds each call back for as long as the call may last. Peers must still
//! see fencing numbers that never decrease, and no holders that act by turns.
RC_GTEST_PROP(Leadership, Leadership_UncheckedCallsOnASlowNetwork_ArriveInOrder, ())
{
    auto log = FakeLog();
    auto times = LeaseTimes();
    times.pauseAfterLoss = HOLDER_TURN;
    const auto machines = std::vector<std::string> { "a", "b", "c" };
    auto processes = std::vector<Process>();
    auto startsAt = std::vector<base::TimePoint>(machines.size(), START);
    for (const auto &machine : machines)
        processes.emplace_back(Candidate { machine + "#0", machine }, times);
    auto calls = std::vector<ArrivedCall>();
    auto incarnation = 0;
    auto now = START;
    const auto steps =
        *rc::gen::resize(rc::kNominalSize,
                         rc::gen::container<std::vector<std::tuple<int, int, int>>>(
                             600,
                             rc::gen::tuple(rc::gen::inRange(0, 3), rc::gen::inRange(0, 100),
                                            rc::gen::inRange(0, 1000))));
    for (const auto &[number, random, delay] : steps) {
        now += std::chrono::milliseconds(random);
        const auto index = static_cast<std::size_t>(number);
        auto &process = processes[index];
        if (now < startsAt[index])
            continue;
        if (random % 7 != 0)
            process.readAll(log, now);
        const auto action = process.lease.next(now, { process.answeredAt }, true);
        if (action.has_value() && random % 5 != 0)
            log.append(*action);
        const auto limit = process.lease.uncheckedCallLimit(now);
        if (limit.has_value()) {
            const auto heldBack = now + std::chrono::milliseconds(delay);
            calls.push_back({ std::min<base::TimePoint>(heldBack, *limit) + NETWORK_DELAY,
                              *process.lease.fence(now), machines[index] });
        }
        if (random == 98 || random == 97) {
            // A release waits for the calls in progress; a killed process takes them with it.
            for (const auto &call : calls) {
                if (random == 97 && call.machine == machines[index])
                    now = std::max(now, call.at);
            }
            const auto release = process.lease.release(now);
            if (random == 97 && release.has_value())
                log.append(*release);
            for (auto &call : calls) {
                if (random == 98 && call.machine == machines[index])
                    call.at = std::min<base::TimePoint>(call.at, now + NETWORK_DELAY);
            }
            process = Process(Candidate { machines[index] + "#" + std::to_string(++incarnation),
                                          machines[index] },
                              times);
            startsAt[index] = now + RESTART_TIME;
        }
        if (random == 99)
            now += 3s;
    }
    checkOrder(std::move(calls));
}

//! The log is unavailable to all machines for longer than the lease lasts. The holder goes on
//! running its items and has results to write; a process that sees the log first must not take over
//! and start that work again.
TEST(Leadership, Leadership_LogOutage_HolderKeepsTheLease)
{
    auto log = FakeLog();
    auto holder = Process("a");
    auto other = Process("b");
    holder.readAll(log, START);
    step(holder, log, START);
    holder.readAll(log, START);
    other.readAll(log, START);
    const auto recoveredAt = START + 7s;
    EXPECT_FALSE(
        other.lease.next(recoveredAt + 5ms, { recoveredAt + 5ms, recoveredAt }, true).has_value());
    EXPECT_FALSE(other.lease.next(recoveredAt + 800ms, { recoveredAt + 800ms, recoveredAt }, true)
                     .has_value());
    const auto holderRecoveredAt = recoveredAt + 700ms;
    const auto renewal =
        holder.lease.next(holderRecoveredAt, { holderRecoveredAt, holderRecoveredAt }, true);
    ASSERT_TRUE(renewal.has_value());
    log.append(*renewal);
    other.readAll(log, holderRecoveredAt + 10ms);
    EXPECT_FALSE(
        other.lease.next(recoveredAt + 2s, { recoveredAt + 2s, recoveredAt }, true).has_value());
    EXPECT_TRUE(holder.lease.uncontestedFence().has_value());
}

TEST(Leadership, Leadership_HolderLostDuringLogOutage_IsReplacedAfterTheGrace)
{
    auto log = FakeLog();
    auto holder = Process("a");
    auto other = Process("b");
    holder.readAll(log, START);
    step(holder, log, START);
    other.readAll(log, START);
    const auto recoveredAt = START + 7s;
    EXPECT_TRUE(
        other.lease.next(recoveredAt + 1s, { recoveredAt + 1s, recoveredAt }, true).has_value());
}

TEST(Leadership, Leadership_LogIsBack_HolderRenewsAtOnce)
{
    auto log = FakeLog();
    auto holder = Process("a");
    holder.readAll(log, START);
    step(holder, log, START);
    holder.readAll(log, START);
    const auto lastAttempt = START + 5s;
    EXPECT_TRUE(holder.lease.next(lastAttempt, { START, START }, true).has_value());
    const auto recoveredAt = lastAttempt + 50ms;
    EXPECT_TRUE(holder.lease.next(recoveredAt, { recoveredAt, recoveredAt }, true).has_value());
    EXPECT_FALSE(
        holder.lease.next(recoveredAt + 50ms, { recoveredAt, recoveredAt }, true).has_value());
}

//! Load: all machines are stopped and started in turn, two seconds apart. The machines that are
//! stopped next see the release first. Each change of the holder interrupts all running items, so
//! the lease must pass to machines that were restarted already.
TEST(Leadership, Leadership_RollingRestart_MovesTheLeaseTwiceAtMost)
{
    constexpr auto MACHINES = 10;
    constexpr auto STOP_INTERVAL = std::chrono::seconds(2);
    constexpr auto TICK = std::chrono::milliseconds(50);
    auto log = FakeLog();
    auto processes = std::map<int, Process>();
    const auto startProcess = [&](int machine, base::TimePoint now) {
        const auto name = "m" + std::to_string(machine);
        processes.insert_or_assign(
            machine,
            Process(Candidate { name + "#" + std::to_string(log.records.size()), name, now }));
    };
    auto now = START;
    for (auto machine = 0; machine < MACHINES; ++machine)
        startProcess(machine, now);
    const auto run = [&](base::Duration duration, int nextStopped) {
        for (const auto until = now + duration; now < until; now += TICK) {
            for (auto turn = 0; turn < MACHINES; ++turn) {
                auto &process = processes.at((nextStopped + turn) % MACHINES);
                process.readAll(log, now);
                step(process, log, now);
            }
        }
    };
    run(STOP_INTERVAL, 0);
    auto changes = 0;
    for (auto machine = 0; machine < MACHINES; ++machine) {
        const auto release = processes.at(machine).lease.release(now);
        if (release.has_value()) {
            ++changes;
            log.append(*release);
        }
        run(RESTART_TIME, machine + 1);
        startProcess(machine, now);
        run(STOP_INTERVAL - RESTART_TIME, machine + 1);
    }
    EXPECT_GE(changes, 1);
    EXPECT_LE(changes, 2);
}
