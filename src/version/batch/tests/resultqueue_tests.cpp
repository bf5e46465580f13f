#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "version/batch/batchcodec.h"
#include "version/batch/resultqueue.h"

using namespace nutmegplank::version::batch;
using nutmegplank::version::journal::AppendLimits;

namespace {

using namespace std::chrono_literals;

const auto START = nutmegplank::base::TimePoint(1h);

auto result(std::uint32_t item, std::size_t textBytes) -> Result
{
    return { item, "item" + std::to_string(item), false, std::string(textBytes, 'x'), { 3 } };
}

auto progress(std::uint32_t item, std::uint32_t events, std::size_t textBytes) -> Progress
{
    return { item, events, events, std::string(textBytes, 'x'), { 3 }, "1.0", false };
}

auto encodedBytes(const ResultGroup &group) -> std::size_t
{
    return group.results.empty() ? encodeProgress(group.batch, group.progress).size()
                                 : encodeResults(group.batch, group.results).size();
}

} // namespace

//! A record used to be filled up to its bound, and then one more text was added.
TEST(ResultQueue, ResultQueue_FullRecordAndOneLargeText_AreTwoRecords)
{
    auto queue = ResultQueue();
    queue.add("b", result(0, 149'000));
    queue.add("b", result(1, 250'000));
    const auto groups = queue.take(AppendLimits(), START);
    ASSERT_EQ(groups.size(), 2U);
    for (const auto &group : groups)
        EXPECT_LE(encodedBytes(group), AppendLimits().recordBytes);
    EXPECT_TRUE(queue.empty());
    EXPECT_EQ(queue.bytes(), 0U);
}

//! Lost items have no text, and their records used to have no bound.
TEST(ResultQueue, ResultQueue_ManyResultsWithoutText_FitTheirRecords)
{
    auto queue = ResultQueue();
    for (auto item = std::uint32_t(0); item < 20'000; ++item)
        queue.add("b", result(item, 0));
    auto taken = std::size_t(0);
    while (!queue.empty()) {
        for (const auto &group : queue.take(AppendLimits(), START)) {
            EXPECT_LE(encodedBytes(group), AppendLimits().recordBytes);
            taken += group.size();
        }
    }
    EXPECT_EQ(taken, 20'000U);
}

RC_GTEST_PROP(ResultQueue, ResultQueue_AnyTexts_AllComeAndEachRecordFits, ())
{
    const auto sizes =
        *rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(0, 3000));
    const auto limits = AppendLimits { 4096, 16384, 1 };
    auto queue = ResultQueue();
    auto item = std::uint32_t(0);
    for (const auto size : sizes) {
        queue.add("b" + std::to_string(item % 3), result(item, size));
        queue.addProgress("b", progress(item, 1, size));
        ++item;
    }
    auto taken = std::size_t(0);
    while (!queue.empty()) {
        auto callBytes = std::size_t(0);
        for (const auto &group : queue.take(limits, START)) {
            RC_ASSERT(group.size() > 0U);
            RC_ASSERT(encodedBytes(group) <= limits.recordBytes);
            taken += group.size();
            callBytes += encodedBytes(group);
        }
        RC_ASSERT(callBytes <= limits.callBytes);
    }
    RC_ASSERT(taken == 2 * sizes.size());
    RC_ASSERT(queue.bytes() == 0U);
}

TEST(ResultQueue, ResultQueue_NewerProgressOfAnItem_ReplacesTheOlder)
{
    auto queue = ResultQueue();
    for (auto events = std::uint32_t(1); events <= 100; ++events)
        queue.addProgress("b", progress(7, events, 1000));
    EXPECT_LT(queue.bytes(), 2000U);
    const auto groups = queue.take(AppendLimits(), START);
    ASSERT_EQ(groups.size(), 1U);
    ASSERT_EQ(groups[0].progress.size(), 1U);
    EXPECT_EQ(groups[0].progress[0].events, 100U);
}

TEST(ResultQueue, ResultQueue_DiscardedText_IsMarkedBeforeWhatFollows)
{
    auto queue = ResultQueue();
    queue.addProgress("b", progress(7, 30, 1000));
    queue.addProgress("b", progress(7, 0, 0));
    queue.addProgress("b", progress(7, 2, 10));
    const auto groups = queue.take(AppendLimits(), START);
    ASSERT_EQ(groups.size(), 1U);
    ASSERT_EQ(groups[0].progress.size(), 2U);
    EXPECT_EQ(groups[0].progress[0].events, 0U);
    EXPECT_EQ(groups[0].progress[1].events, 2U);
}

TEST(ResultQueue, ResultQueue_SplitGroups_KeepAllInOrder)
{
    auto group = ResultGroup { "b", { result(0, 1), result(1, 1), result(2, 1) }, {} };
    const auto [first, second] = splitGroup(std::move(group));
    ASSERT_EQ(first.results.size(), 1U);
    ASSERT_EQ(second.results.size(), 2U);
    EXPECT_EQ(first.results[0].item, 0U);
    EXPECT_EQ(second.results[1].item, 2U);
    EXPECT_EQ(second.batch, "b");
}

//! With a result every few milliseconds, progress never had its turn, and the items that ran when a
//! lease holder was lost began anew.
TEST(ResultQueue, ResultQueue_ResultsThatNeverEnd_HoldProgressUpForABoundedTime)
{
    auto queue = ResultQueue();
    queue.addProgress("b", progress(0, 20, 8000));
    auto stored = std::optional<std::chrono::milliseconds>();
    auto listed = std::size_t(0);
    for (auto time = 0ms; time < 2s; time += 30ms) {
        queue.add("a", result(static_cast<std::uint32_t>(time.count()), 2000));
        for (const auto &group : queue.take(AppendLimits(), START + time)) {
            listed += group.results.size();
            if (!group.progress.empty() && !stored.has_value())
                stored = time;
        }
    }
    ASSERT_TRUE(stored.has_value());
    EXPECT_GE(*stored, 200ms);
    EXPECT_LE(*stored, 400ms);
    EXPECT_EQ(listed, 67U);
}

//! Progress that waited used to count like results, and a large deployment started no more items.
TEST(ResultQueue, ResultQueue_WaitingProgress_IsCountedApartFromResults)
{
    auto queue = ResultQueue();
    for (auto item = std::uint32_t(0); item < 100; ++item)
        queue.addProgress("b", progress(item, 20, 8000));
    EXPECT_TRUE(queue.hasProgress());
    EXPECT_EQ(queue.resultBytes(), 0U);
    EXPECT_GT(queue.bytes(), 800'000U);
    queue.add("a", result(0, 2000));
    EXPECT_GT(queue.resultBytes(), 2000U);
    queue.take(AppendLimits(), START);
    EXPECT_EQ(queue.resultBytes(), 0U);
    queue.add("a", result(1, 2000));
    // Beside results, one append takes a part of the progress only.
    for (const auto &group : queue.take(AppendLimits(), START + 1s))
        EXPECT_TRUE(group.results.empty());
    EXPECT_TRUE(queue.hasProgress());
    while (!queue.empty())
        queue.take(AppendLimits(), START + 2s);
    EXPECT_EQ(queue.bytes(), 0U);
}
