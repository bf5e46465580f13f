#include <gtest/gtest.h>

#include "request/step/internal/sample.h"

using namespace nutmegplank;
using namespace nutmegplank::request::step;

namespace {

const auto GOOD =
    std::string("data: {\"index\": 0, \"tokens\": [\"a \", \"b \"], \"weight_version\": 3}\n\n"
                "data: {\"index\": 2, \"tokens\": [\"c \"], \"weight_version\": 4}\n\n");
const auto END =
    std::string("data: {\"done\": true, \"prompt_tokens\": 1, \"generated_tokens\": 3, "
                "\"cached_tokens\": 0}\n\ndata: [DONE]\n\n");

auto outcomeWith(std::vector<TokenRange> ranges) -> request::execution::RequestOutcome
{
    auto outcome = request::execution::RequestOutcome {};
    outcome.body = GOOD + END;
    for (const auto &range : ranges) {
        auto wire = wire::VersionRange();
        wire.set_weight_version(range.weightVersion);
        wire.set_first_token(range.first);
        wire.set_token_count(range.count);
        outcome.ranges.push_back(wire);
    }
    return outcome;
}

} // namespace

TEST(Step, Sample_IsReadWithItsRanges)
{
    const auto sample = parseSample(GOOD + END, 3);
    ASSERT_TRUE(sample.ok());
    EXPECT_EQ(sample->text, "a b c ");
    EXPECT_EQ(sample->ranges, (std::vector<TokenRange> { { 3, 0, 2 }, { 4, 2, 1 } }));
    EXPECT_EQ(sample->oldestVersion(), 3U);
    EXPECT_EQ(sample->newestVersion(), 4U);
}

TEST(Step, Sample_ContradictionsAreFound)
{
    const auto gap =
        std::string("data: {\"index\": 1, \"tokens\": [\"a \"], \"weight_version\": 3}\n\n");
    const auto noVersion =
        std::string("data: {\"index\": 0, \"tokens\": [\"a \", \"b \", \"c \"]}\n\n");
    EXPECT_FALSE(parseSample(gap + END, 3).ok());
    EXPECT_FALSE(parseSample(noVersion + END, 3).ok());
    EXPECT_FALSE(parseSample(GOOD, 3).ok());
    EXPECT_FALSE(parseSample(GOOD + END, 4).ok());
    EXPECT_FALSE(parseSample(GOOD + GOOD + END, 3).ok());
    EXPECT_FALSE(parseSample("data: {\"index\":\n\n" + END, 3).ok());
    EXPECT_FALSE(parseSample("", 3).ok());
}

TEST(Step, Sample_MustAgreeWithTheDispatcher)
{
    EXPECT_TRUE(sampleOf(outcomeWith({}), 3).ok());
    EXPECT_TRUE(sampleOf(outcomeWith({ { 3, 0, 1 }, { 3, 1, 1 }, { 4, 2, 1 } }), 3).ok());
    EXPECT_FALSE(sampleOf(outcomeWith({ { 4, 0, 3 } }), 3).ok());
}
