#include <gtest/gtest.h>

#include "version/batch/bulkpartitions.h"

using namespace nutmegplank;
using namespace nutmegplank::version::batch;
using namespace std::chrono_literals;

namespace {

const auto START = base::TimePoint(base::Duration(1h));
constexpr auto COUNT = 12U;

} // namespace

TEST(BulkPartitions, BulkPartitions_AllAvailable_BatchUsesOnePartition)
{
    const auto partitions = BulkPartitions();
    EXPECT_EQ(partitions.choose("b", COUNT, START), partitions.choose("b", COUNT, START + 1h));
    EXPECT_LT(partitions.choose("b", COUNT, START), COUNT);
}

//! A third of the log's partitions does not answer for seconds while training steps start and end.
//! Without a memory of failed partitions, each batch would fail on them again.
TEST(BulkPartitions, BulkPartitions_SomeUnavailable_OthersReceiveTheirRecords)
{
    auto partitions = BulkPartitions();
    const auto unavailable = [](std::uint32_t partition) { return partition % 3 == 0; };
    auto failures = 0;
    for (auto batch = 0; batch < 100; ++batch) {
        const auto id = std::to_string(batch);
        while (unavailable(partitions.choose(id, COUNT, START))) {
            partitions.noteFailed(partitions.choose(id, COUNT, START), START);
            ++failures;
        }
    }
    EXPECT_LE(failures, 4);
}

TEST(BulkPartitions, BulkPartitions_SkipTimeOverOrStored_PreferredPartitionIsRetried)
{
    auto partitions = BulkPartitions();
    const auto preferred = partitions.choose("b", COUNT, START);
    partitions.noteFailed(preferred, START);
    EXPECT_NE(partitions.choose("b", COUNT, START + 1s), preferred);
    EXPECT_EQ(partitions.choose("b", COUNT, START + 9s), preferred);
    partitions.noteFailed(preferred, START + 10s);
    partitions.noteStored(preferred);
    EXPECT_EQ(partitions.choose("b", COUNT, START + 10s), preferred);
}

TEST(BulkPartitions, BulkPartitions_ThreeOfFourUnavailable_SecondRequestFindsTheFourth)
{
    // Three attempts of 0.8 s each, 1.5 s on another machine, then the next attempt.
    auto partitions = BulkPartitions();
    auto now = START;
    for (auto round = 0; round < 3; ++round) {
        const auto partition = partitions.choose("b", 4, now);
        partitions.noteFailed(partition, now += 800ms);
    }
    const auto fourth = partitions.choose("b", 4, now + 1500ms);
    EXPECT_EQ(fourth, (partitions.choose("b", 4, now + 1h) + 3) % 4);
}

TEST(BulkPartitions, BulkPartitions_AllUnavailable_PreferredPartitionIsTried)
{
    auto partitions = BulkPartitions();
    const auto preferred = partitions.choose("b", COUNT, START);
    for (auto partition = 0U; partition < COUNT; ++partition)
        partitions.noteFailed(partition, START);
    EXPECT_EQ(partitions.choose("b", COUNT, START), preferred);
}
