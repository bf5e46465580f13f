#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "base/text.h"
#include "request/queue/earlyrefusal.h"
#include "request/queue/iqueue.h"

using namespace nutmegplank;
using namespace nutmegplank::request::queue;

namespace {

constexpr auto ANY_ITEM = [](const QueueItem &) { return true; };
constexpr auto CAPACITY = std::size_t(20);

auto at(int milliseconds) -> base::TimePoint
{
    return base::TimePoint(std::chrono::milliseconds(milliseconds));
}

auto makeItem(const std::string &id, const std::string &workspace, wire::Priority priority,
              std::uint32_t tokens = 10, std::uint32_t weight = 1) -> QueueItem
{
    auto made = QueueItem();
    made.id = id;
    made.workspace = workspace;
    made.priority = priority;
    made.expectedTokens = tokens;
    made.weight = weight;
    made.deadline = at(1'000'000);
    return made;
}

auto arbitraryItem(int number) -> QueueItem
{
    const auto priority =
        *rc::gen::element(wire::PRIORITY_ORDER, wire::PRIORITY_STRAGGLER, wire::PRIORITY_ROLLOUT);
    auto made = makeItem(std::to_string(number), *rc::gen::element<std::string>("a", "b", "c"),
                         priority, *rc::gen::inRange(0U, 500U), *rc::gen::inRange(1U, 5U));
    made.deadline = at(*rc::gen::inRange(0, 1000));
    return made;
}

//! Reference model that cannot lose or duplicate a request: a map by id.
using Oracle = std::map<std::string, QueueItem>;

auto lowestPriority(const Oracle &oracle) -> wire::Priority
{
    auto lowest = wire::PRIORITY_ROLLOUT;
    for (const auto &[id, waiting] : oracle)
        lowest = std::min(lowest, waiting.priority);
    return lowest;
}

auto takeChecked(IQueue &queue, Oracle &oracle, bool byPriority) -> void
{
    const auto taken = queue.take(ANY_ITEM);
    RC_ASSERT(taken.has_value() == !oracle.empty());
    if (!taken.has_value())
        return;
    if (byPriority)
        RC_ASSERT(taken->priority == lowestPriority(oracle));
    RC_ASSERT(oracle.erase(taken->id) == 1U);
}

auto expireChecked(IQueue &queue, Oracle &oracle) -> void
{
    const auto now = at(*rc::gen::inRange(0, 1200));
    for (const auto &expired : queue.expire(now)) {
        RC_ASSERT(expired.deadline <= now);
        RC_ASSERT(oracle.erase(expired.id) == 1U);
    }
    for (const auto &[id, waiting] : oracle)
        RC_ASSERT(waiting.deadline > now);
}

auto compareWithOracle(QueuePolicy policy) -> void
{
    auto queue = makeQueue(policy, CAPACITY);
    auto oracle = Oracle();
    const auto steps = *rc::gen::inRange(1, 200);
    for (auto step = 0; step < steps; ++step) {
        switch (*rc::gen::inRange(0, 6)) {
        case 0:
            takeChecked(*queue, oracle, policy == QueuePolicy::Fair);
            break;
        case 1:
            expireChecked(*queue, oracle);
            break;
        case 2: {
            const auto id = std::to_string(*rc::gen::inRange(0, steps));
            RC_ASSERT(queue->remove(id) == (oracle.erase(id) == 1U));
            break;
        }
        default: {
            const auto added = arbitraryItem(*rc::gen::inRange(0, steps));
            const auto fits = oracle.size() < CAPACITY && !oracle.contains(added.id);
            RC_ASSERT(queue->push(added) == fits);
            if (fits)
                oracle.emplace(added.id, added);
        }
        }
        RC_ASSERT(queue->size() == oracle.size());
    }
}

} // namespace

RC_GTEST_PROP(Queue, Queue_Fair_NeitherLosesNorDuplicatesRequests, ())
{
    compareWithOracle(QueuePolicy::Fair);
}

RC_GTEST_PROP(Queue, Queue_Fifo_NeitherLosesNorDuplicatesRequests, ())
{
    compareWithOracle(QueuePolicy::Fifo);
}

//! Guards against unfair shares: while all workspaces have waiting requests, the served cost
//! divided by weight of any two must not differ by more than the bound of the Virtual Token
//! Counter, twice the largest cost divided by weight.
RC_GTEST_PROP(Queue, Queue_Fair_KeepsSharesWithinBound, ())
{
    constexpr auto TURNS = 300;
    constexpr auto MAX_TOKENS = 200U;
    const auto weights = std::map<std::string, std::uint32_t> { { "a", *rc::gen::inRange(1U, 5U) },
                                                                { "b", *rc::gen::inRange(1U, 5U) },
                                                                { "c", 1U } };
    auto queue = makeQueue(QueuePolicy::Fair, 1000);
    auto served = std::map<std::string, double>();
    auto number = 0;
    const auto refill = [&](const std::string &workspace) {
        const auto tokens = *rc::gen::inRange(1U, MAX_TOKENS);
        queue->push(makeItem(std::to_string(number++), workspace, wire::PRIORITY_STRAGGLER, tokens,
                             weights.at(workspace)));
    };
    for (const auto &[workspace, weight] : weights) {
        refill(workspace);
        refill(workspace);
    }
    for (auto turn = 0; turn < TURNS; ++turn) {
        const auto taken = queue->take(ANY_ITEM);
        const auto tokens = *rc::gen::inRange(1U, MAX_TOKENS);
        queue->settle(*taken, { tokens, {} });
        served[taken->workspace] += static_cast<double>(tokens) / taken->weight;
        refill(taken->workspace);
        for (const auto &[left, leftServed] : served) {
            for (const auto &[right, rightServed] : served)
                RC_ASSERT(std::abs(leftServed - rightServed) <= 2.0 * MAX_TOKENS);
        }
    }
}

TEST(Queue, Queue_Fair_GivesNoCreditForIdleTime)
{
    auto queue = makeQueue(QueuePolicy::Fair, 100);
    for (auto number = 0; number < 20; ++number)
        queue->push(makeItem(base::concat("busy", number), "busy", wire::PRIORITY_STRAGGLER));
    for (auto number = 0; number < 10; ++number)
        queue->take(ANY_ITEM);
    for (auto number = 0; number < 10; ++number)
        queue->push(makeItem(base::concat("late", number), "late", wire::PRIORITY_STRAGGLER));
    auto takenOfLate = 0;
    for (auto turn = 0; turn < 10; ++turn)
        takenOfLate += queue->take(ANY_ITEM)->workspace == "late" ? 1 : 0;
    EXPECT_EQ(takenOfLate, 5);
}

TEST(Queue, Queue_Fair_TakesLongestRolloutFirst)
{
    auto queue = makeQueue(QueuePolicy::Fair, 100);
    queue->push(makeItem("short", "w", wire::PRIORITY_ROLLOUT, 5));
    queue->push(makeItem("long", "w", wire::PRIORITY_ROLLOUT, 50));
    queue->push(makeItem("middle", "w", wire::PRIORITY_ROLLOUT, 20));
    EXPECT_EQ(queue->take(ANY_ITEM)->id, "long");
    EXPECT_EQ(queue->take(ANY_ITEM)->id, "middle");
}

TEST(Queue, Queue_Fair_SkipsRequestsThatCannotStart)
{
    auto queue = makeQueue(QueuePolicy::Fair, 1000);
    for (auto number = 0; number < 500; ++number)
        queue->push(makeItem(base::concat("stuck", number), "stuck", wire::PRIORITY_ORDER));
    queue->push(makeItem("ready", "ready", wire::PRIORITY_ROLLOUT));
    const auto taken =
        queue->take([](const QueueItem &waiting) { return waiting.workspace == "ready"; });
    ASSERT_TRUE(taken.has_value());
    EXPECT_EQ(taken->id, "ready");
}

TEST(Queue, EarlyRefusal_StandingQueue_RefusesOnlyRequestsThatWouldExpire)
{
    auto refusal = EarlyRefusal(EarlyRefusalOptions());
    for (auto now = 0; now < 2000; now += 50)
        refusal.onTaken(std::chrono::milliseconds(800), at(now));
    EXPECT_TRUE(refusal.refusalRetryDelay(at(2500), at(2000)).has_value());
    EXPECT_FALSE(refusal.refusalRetryDelay(at(3500), at(2000)).has_value());
    refusal.onTaken(std::chrono::milliseconds(1), at(2010));
    EXPECT_FALSE(refusal.refusalRetryDelay(at(2500), at(2010)).has_value());
}
