#include <gtest/gtest.h>

#include "version/journal/reachability.h"

using namespace nutmegplank;
using namespace nutmegplank::version::journal;
using namespace std::chrono_literals;

namespace {

const auto START = base::TimePoint(base::Duration(1h));
constexpr auto LONG_POLL = base::Duration(1s);

auto timeoutError() -> absl::Status
{
    return absl::DeadlineExceededError("log does not answer");
}

//! Simulates a reader of a log that is unreachable until \a recoveredAt and then answers after
//! \a answerTime; with \a callersWait, callers request fast retries throughout. Returns the time
//! from the recovery until the reader detects it.
auto detectionDelay(base::TimePoint recoveredAt, base::Duration answerTime, bool callersWait)
    -> base::Duration
{
    auto reachability = Reachability({ "topic", 0 });
    reachability.noteAnswer(START);
    reachability.noteFailure(timeoutError(), START);
    auto now = START;
    while (true) {
        if (callersWait)
            reachability.requestFastRetries(now);
        const auto times = reachability.nextRead(LONG_POLL, now);
        if (now >= recoveredAt && answerTime <= times.grace)
            return now + answerTime - recoveredAt;
        now += times.grace;
        reachability.noteFailure(timeoutError(), now);
        if (callersWait)
            reachability.requestFastRetries(now);
        now += reachability.backOff(now);
    }
}

} // namespace

TEST(Reachability, Reachability_CallersWait_DetectsRecoveryWithinAThirdOfTheirTimeout)
{
    auto sum = base::Duration(0);
    constexpr auto RUNS = 100;
    for (auto run = 0; run < RUNS; ++run) {
        const auto recoveredAt = START + 5s + run * 31ms;
        const auto delay = detectionDelay(recoveredAt, 4ms, true);
        EXPECT_LE(delay, 900ms);
        sum += delay;
    }
    EXPECT_LE(sum / RUNS, 350ms);
}

TEST(Reachability, Reachability_SlowLog_DetectsRecoveryDespiteFastRetries)
{
    EXPECT_LE(detectionDelay(START + 5s, 600ms, true), 2500ms);
}

TEST(Reachability, Reachability_NoCallerWaits_ReadsAboutOncePerSecond)
{
    auto reachability = Reachability({ "topic", 0 });
    reachability.noteAnswer(START);
    auto now = START;
    auto reads = 0;
    while (now < START + 10s) {
        reachability.noteFailure(timeoutError(), now);
        now += reachability.backOff(now) + reachability.nextRead(LONG_POLL, now).grace;
        ++reads;
    }
    EXPECT_LE(reads, 12);
}

TEST(Reachability, Reachability_ReachableLog_UsesLongPollAndFullGrace)
{
    auto reachability = Reachability({ "topic", 0 });
    EXPECT_EQ(reachability.nextRead(LONG_POLL, START).wait, 0s);
    reachability.noteAnswer(START);
    reachability.requestFastRetries(START);
    EXPECT_EQ(reachability.nextRead(LONG_POLL, START).wait, LONG_POLL);
    EXPECT_EQ(reachability.nextRead(LONG_POLL, START).grace, 800ms);
}
