// Load: 11 engines take 27 ms an event and 33 take 58 to 70 ms. Each of three trainers asks a step
// of 23 groups of 8 items every 4 s and waits for 90% of its groups; 8% of the items are five times
// longer than the others, and hints are right at the median only.
#include <algorithm>
#include <random>

#include <gtest/gtest.h>

#include "request/rollout/engineindex.h"
#include "request/rollout/finishestimate.h"
#include "request/rollout/finishplan.h"
#include "request/rollout/lengthhistory.h"

using namespace nutmegplank;
using namespace nutmegplank::request::rollout;
using namespace std::chrono_literals;

namespace {

constexpr auto FAST_ENGINES = 11;
constexpr auto SLOW_ENGINES = 33;
constexpr auto TRAINERS = 3;
constexpr auto GROUPS = 23;
constexpr auto GROUP_SIZE = 8;
constexpr auto WAITED_SHARE = 0.9;
constexpr auto TOKENS_PER_EVENT = 92;
constexpr auto TICK = base::Duration(60ms);
constexpr auto DUE_TIME = base::Duration(7500ms);
constexpr auto STEP_PERIOD = base::Duration(4s);
constexpr auto QUANTILE = 0.8;
const auto START = base::TimePoint(1000s);

const auto ROUTE = [] {
    auto route = version::routing::Route();
    route.services = { { "engines", 1.0 } };
    return route;
}();

auto makeEngine(std::string id, double eventSeconds) -> EngineLoad
{
    auto engine = EngineLoad();
    engine.id = std::move(id);
    engine.service = "engines";
    engine.slots = 8;
    engine.cacheTokens = 67'053;
    engine.eventSeconds = eventSeconds;
    engine.startsLeft = 1000;
    engine.modelVersion["m"] = 5;
    return engine;
}

auto makeEngines() -> std::vector<EngineLoad>
{
    auto engines = std::vector<EngineLoad>();
    for (auto index = 0; index < FAST_ENGINES; ++index)
        engines.push_back(makeEngine("fast" + std::to_string(index), 0.027));
    for (auto index = 0; index < SLOW_ENGINES; ++index)
        engines.push_back(makeEngine("slow" + std::to_string(index), 0.058 + 0.004 * (index % 4)));
    for (auto &engine : engines)
        engine.slowdown = engine.eventSeconds / 0.062;
    return engines;
}

auto makeWaiting(std::size_t handle, double remainingEvents) -> WaitingItem
{
    auto item = WaitingItem();
    item.handle = handle;
    item.model = "m";
    item.remainingEvents = remainingEvents;
    item.expectedTokens = static_cast<std::uint64_t>(remainingEvents * TOKENS_PER_EVENT);
    item.contextTokens = 1016;
    item.dueAt = START + DUE_TIME;
    item.route = &ROUTE;
    return item;
}

auto makeMovable(double remainingEvents, std::size_t engine) -> MovableItem
{
    auto movable = MovableItem();
    movable.item = makeWaiting(0, remainingEvents);
    movable.engine = engine;
    movable.runTime = 1s;
    return movable;
}

//! An item of the schedule, with its real length.
struct Job
{
    int batch = 0;
    int group = 0;
    base::TimePoint submittedAt {};
    double length = 0;
    double hint = 0;
    double produced = 0;
    int engine = -1;
    base::TimePoint startedAt {};
    std::uint32_t moves = 0;
    bool done = false;
    base::TimePoint doneAt {};
};

auto makeJobs(int steps) -> std::vector<Job>
{
    auto random = std::mt19937(7);
    auto jobs = std::vector<Job>();
    auto lengths = std::lognormal_distribution<double>(std::log(19.6) - 0.53, 0.84);
    auto hints = std::lognormal_distribution<double>(0.0, 0.5);
    auto isLong = std::bernoulli_distribution(0.08);
    for (auto batch = 0; batch < steps * TRAINERS; ++batch) {
        for (auto index = 0; index < GROUPS * GROUP_SIZE; ++index) {
            auto job = Job();
            job.batch = batch;
            job.group = index / GROUP_SIZE;
            job.submittedAt = START + STEP_PERIOD * (batch / TRAINERS)
                + std::chrono::milliseconds(700 * (batch % TRAINERS));
            const auto factor = isLong(random) ? 5.0 : 1.0;
            job.length = std::clamp(lengths(random) * factor, 1.0, 141.0);
            job.hint = job.length * hints(random);
            jobs.push_back(job);
        }
    }
    return jobs;
}

//! What the planners are told of \a job.
auto describe(const Job &job, std::size_t handle, const LengthHistory &lengths) -> WaitingItem
{
    const auto produced = static_cast<std::uint32_t>(job.produced);
    const auto usual = job.hint > produced ? job.hint - produced : produced / 2.0;
    auto item = makeWaiting(handle, lengths.remainingEvents("r", job.hint, produced, QUANTILE));
    item.expectedTokens = static_cast<std::uint64_t>(std::max(1.0, usual) * TOKENS_PER_EVENT);
    item.dueAt = job.submittedAt + DUE_TIME;
    return item;
}

struct Schedule
{
    std::vector<double> batchSeconds; //!< Until the waited share of each batch's groups is whole.
    std::size_t unfinished = 0;
};

auto batchSeconds(const std::vector<Job> &jobs, int batch) -> double
{
    auto groupEnds = std::vector<double>(GROUPS, 0.0);
    for (const auto &job : jobs) {
        if (job.batch != batch)
            continue;
        auto &end = groupEnds[static_cast<std::size_t>(job.group)];
        end = std::max(end, base::toSeconds(job.doneAt - job.submittedAt));
    }
    std::ranges::sort(groupEnds);
    return groupEnds[static_cast<std::size_t>(std::ceil(WAITED_SHARE * GROUPS)) - 1];
}

//! Evaluates a schedule in steps of one tick: by finish time, or as items are placed where engines
//! are of one kind.
auto evaluate(bool byFinish) -> Schedule
{
    constexpr auto STEPS = 4;
    constexpr auto MAX_TICKS = 1000;
    const auto resumeTime = 85ms;
    auto jobs = makeJobs(STEPS);
    auto lengths = LengthHistory();
    auto now = START;
    for (auto tick = 0; tick < MAX_TICKS; ++tick, now += TICK) {
        auto engines = makeEngines();
        auto waiting = std::vector<WaitingItem>();
        auto running = std::vector<MovableItem>();
        for (auto index = std::size_t(0); index < jobs.size(); ++index) {
            auto &job = jobs[index];
            if (job.done || job.submittedAt > now)
                continue;
            auto item = describe(job, index, lengths);
            if (job.engine < 0) {
                waiting.push_back(std::move(item));
                continue;
            }
            const auto engine = static_cast<std::size_t>(job.engine);
            reserve(item, engines[engine]);
            running.push_back({ std::move(item), engine, now - job.startedAt, job.moves });
        }
        const auto placed =
            byFinish ? placeByFinish(waiting, engines, now) : placeItems(waiting, engines);
        for (const auto &assignment : placed) {
            jobs[assignment.handle].engine = static_cast<int>(assignment.engine);
            jobs[assignment.handle].startedAt = now + resumeTime;
        }
        if (byFinish) {
            for (const auto &move : planFinishMoves(running, engines, now)) {
                jobs[move.handle].engine = -1;
                ++jobs[move.handle].moves;
            }
        }
        for (auto &job : jobs) {
            if (job.done || job.engine < 0 || job.startedAt > now)
                continue;
            const auto eventSeconds = engines[static_cast<std::size_t>(job.engine)].eventSeconds;
            job.produced += base::toSeconds(TICK) / eventSeconds;
            if (job.produced < job.length)
                continue;
            job.done = true;
            job.doneAt = now + TICK;
            lengths.noteLength("r", job.hint, static_cast<std::uint32_t>(job.length));
        }
    }
    auto schedule = Schedule();
    for (auto batch = 0; batch < STEPS * TRAINERS; ++batch)
        schedule.batchSeconds.push_back(batchSeconds(jobs, batch));
    schedule.unfinished = static_cast<std::size_t>(
        std::ranges::count_if(jobs, [](const Job &job) { return !job.done; }));
    return schedule;
}

auto mean(const std::vector<double> &values) -> double
{
    auto sum = 0.0;
    for (const auto value : values)
        sum += value;
    return sum / static_cast<double>(values.size());
}

} // namespace

TEST(FinishPlan, FinishPlan_TrainersOnEnginesOfTwoKinds_BatchesEndWithinAPeriodBeforeTheirDueTime)
{
    const auto usual = evaluate(false);
    const auto planned = evaluate(true);
    EXPECT_EQ(planned.unfinished, 0U);
    // The next but one step is asked when this one and its training are over, so that a batch which
    // takes two periods less the training delays all later steps.
    EXPECT_LT(std::ranges::max(planned.batchSeconds), 7.0);
    EXPECT_GT(std::ranges::max(usual.batchSeconds), 7.0);
    EXPECT_LT(mean(planned.batchSeconds), 0.9 * mean(usual.batchSeconds));
    EXPECT_LT(std::ranges::max(planned.batchSeconds), 0.75 * std::ranges::max(usual.batchSeconds));
    RecordProperty("mean_before", std::to_string(mean(usual.batchSeconds)));
    RecordProperty("mean_now", std::to_string(mean(planned.batchSeconds)));
    RecordProperty("worst_before", std::to_string(std::ranges::max(usual.batchSeconds)));
    RecordProperty("worst_now", std::to_string(std::ranges::max(planned.batchSeconds)));
}

TEST(FinishPlan, FinishPlan_MoreItemsThanFastSlots_LongestGetTheFastEngines)
{
    auto engines = std::vector<EngineLoad> { makeEngine("slow", 0.064), makeEngine("fast", 0.027) };
    auto items = std::vector<WaitingItem>();
    for (auto handle = std::size_t(0); handle < 16; ++handle)
        items.push_back(makeWaiting(handle, handle < 8 ? 10.0 : 40.0));
    for (const auto &assignment : placeByFinish(items, engines, START))
        EXPECT_EQ(assignment.engine, assignment.handle < 8 ? 0U : 1U);
}

TEST(FinishPlan, FinishPlan_BatchFurtherBehind_ComesFirst)
{
    auto engines = std::vector<EngineLoad> { makeEngine("slow", 0.064), makeEngine("fast", 0.027) };
    engines[1].running = 7;
    auto late = makeWaiting(0, 20.0);
    late.dueAt = START + 1s;
    const auto placed = placeByFinish({ makeWaiting(1, 40.0), late }, engines, START);
    ASSERT_EQ(placed.size(), 2U);
    EXPECT_EQ(placed[0].handle, 0U);
    EXPECT_EQ(placed[0].engine, 1U);
    EXPECT_EQ(placed[1].engine, 0U);
}

TEST(FinishPlan, FinishPlan_OnlyShortItems_FastEnginesAreNotKeptIdle)
{
    auto engines = std::vector<EngineLoad> { makeEngine("slow", 0.064), makeEngine("fast", 0.027) };
    const auto placed = placeByFinish({ makeWaiting(0, 5.0) }, engines, START);
    ASSERT_EQ(placed.size(), 1U);
    EXPECT_EQ(placed[0].engine, 1U);
}

TEST(FinishPlan, FinishPlan_AvoidedEngine_IsTakenOnlyIfThereIsNoOther)
{
    auto engines = std::vector<EngineLoad> { makeEngine("slow", 0.064), makeEngine("fast", 0.027) };
    auto item = makeWaiting(0, 20.0);
    item.avoidedEngine = "fast";
    EXPECT_EQ(placeByFinish({ item }, engines, START).at(0).engine, 0U);
    engines[0].startsLeft = 0;
    EXPECT_EQ(placeByFinish({ item }, engines, START).at(0).engine, 1U);
}

TEST(FinishPlan, FinishPlan_TextOfAnotherSoftwareVersion_StaysOnItsOwn)
{
    auto engines = std::vector<EngineLoad> { makeEngine("slow", 0.064), makeEngine("fast", 0.027) };
    engines[0].software = "a";
    engines[1].software = "b";
    auto movable = makeMovable(80.0, 0);
    movable.item.hasText = true;
    movable.item.software = "a";
    EXPECT_EQ(placeByFinish({ movable.item }, engines, START).at(0).engine, 0U);
    EXPECT_TRUE(planFinishMoves({ movable }, engines, START).empty());
}

TEST(FinishPlan, FinishPlan_LongRunOnSlowEngine_GoesOnAtTheFastOne)
{
    auto engines = std::vector<EngineLoad> { makeEngine("slow", 0.064), makeEngine("fast", 0.027) };
    engines[0].running = 1;
    const auto moves = planFinishMoves({ makeMovable(80.0, 0) }, engines, START);
    ASSERT_EQ(moves.size(), 1U);
    EXPECT_EQ(moves[0].target, 1U);
    EXPECT_GT(moves[0].endHere, moves[0].endAtTarget);
    EXPECT_EQ(engines[1].running, 1U);
}

TEST(FinishPlan, FinishPlan_RunsThatGainLittle_Stay)
{
    auto engines = std::vector<EngineLoad> { makeEngine("slow", 0.064), makeEngine("fast", 0.027) };
    engines[0].running = 1;
    EXPECT_TRUE(planFinishMoves({ makeMovable(5.0, 0) }, engines, START).empty());
    auto young = makeMovable(80.0, 0);
    young.runTime = 50ms;
    EXPECT_TRUE(planFinishMoves({ young }, engines, START).empty());
    auto wanderer = makeMovable(80.0, 0);
    wanderer.moves = 100;
    EXPECT_TRUE(planFinishMoves({ wanderer }, engines, START).empty());
    EXPECT_TRUE(planFinishMoves({ makeMovable(80.0, 1) }, engines, START).empty());
}

TEST(FinishPlan, FinishPlan_TwoRunsAndOneFastSlot_TheOneWithLessSlackMoves)
{
    auto engines = std::vector<EngineLoad> { makeEngine("slow", 0.064), makeEngine("fast", 0.027) };
    engines[0].running = 2;
    engines[1].running = 7;
    auto longer = makeMovable(90.0, 0);
    longer.item.handle = 1;
    const auto moves = planFinishMoves({ makeMovable(60.0, 0), longer }, engines, START);
    ASSERT_EQ(moves.size(), 1U);
    EXPECT_EQ(moves[0].handle, 1U);
}

TEST(FinishPlan, FinishPlan_LargeFleet_LooksAtFewEnginesForEachItem)
{
    constexpr auto ENGINES = 1800;
    constexpr auto ITEMS = 20'000;
    auto engines = std::vector<EngineLoad>();
    for (auto index = 0; index < ENGINES; ++index)
        engines.push_back(makeEngine(std::to_string(index), index % 4 == 0 ? 0.027 : 0.064));
    auto index = EngineIndex(engines);
    auto placed = 0;
    for (auto handle = std::size_t(0); handle < ITEMS; ++handle) {
        const auto item = makeWaiting(handle, 20.0);
        const auto best = index.findBest(item);
        if (best == engines.size())
            continue;
        index.reserveAt(item, best);
        ++placed;
    }
    EXPECT_EQ(placed, ENGINES * 8);
    EXPECT_LT(index.visits(), static_cast<std::size_t>(4 * ITEMS));
}
