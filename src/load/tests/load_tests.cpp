#include <gtest/gtest.h>

#include "load/latencies.h"
#include "load/receivedsamples.h"
#include "load/tokens.h"

using namespace nutmegplank;
using namespace nutmegplank::load;

namespace {

constexpr auto TOKENS = std::uint32_t(4);

//! A sample of which the first \a split tokens come from version 1 and the others from version 2.
auto sampleOf(const ExpectedSlot &slot, std::uint32_t split) -> ReceivedSample
{
    auto sample = ReceivedSample { "g/0", "id", "", { { 1, 0, split }, { 2, split, 4 - split } } };
    for (auto index = std::uint32_t(0); index < slot.maxTokens; ++index)
        sample.text += tokenAt(slot.prompt, slot.seed, index, index < split ? 1 : 2);
    return sample;
}

} // namespace

TEST(Load, Samples_AreCheckedTokenByToken)
{
    const auto slot = ExpectedSlot { "prompt", 7, TOKENS };
    auto sample = sampleOf(slot, 3);
    EXPECT_TRUE(isTruthful(sample, slot));
    sample.ranges = { { 1, 0, 2 }, { 2, 2, 2 } };
    EXPECT_FALSE(isTruthful(sample, slot));
    sample.ranges = { { 1, 0, 3 } };
    EXPECT_FALSE(isTruthful(sample, slot));
}

TEST(Load, Samples_CountRepeatsDuplicatesAndAge)
{
    const auto slot = ExpectedSlot { "prompt", 7, TOKENS };
    auto received = ReceivedSamples({ { "g/0", slot } });
    auto sample = sampleOf(slot, 3);
    received.take(sample, 5, 3);
    EXPECT_EQ(received.counts().tooOld, 1U);
    EXPECT_EQ(received.counts().stalenessWorst, 4U);
    received.take(sample, 5, 3);
    EXPECT_EQ(received.counts().repeated, 1U);
    received.noteAcknowledged({ "g/0" });
    received.take(sample, 5, 3);
    EXPECT_EQ(received.counts().duplicated, 1U);
    EXPECT_EQ(received.counts().delivered, 1U);
    EXPECT_TRUE(received.isComplete());
}

TEST(Load, Latencies_PercentileIsTheNearestRank)
{
    auto latencies = Latencies();
    for (auto number = 1; number <= 100; ++number)
        latencies.record(std::chrono::milliseconds(number));
    EXPECT_DOUBLE_EQ(latencies.percentile(0.5), 50);
    EXPECT_DOUBLE_EQ(latencies.percentile(0.99), 99);
    EXPECT_DOUBLE_EQ(latencies.percentile(1), 100);
}
