#include <gtest/gtest.h>

#include "request/step/internal/sample.h"

using namespace nutmegplank;
using namespace nutmegplank::request::step;

namespace {

const auto TOKEN_EVENTS =
    std::string("data: {\"index\": 0, \"tokens\": [\"a \", \"b \"], \"weight_version\": 3}\n\n"
                "data: {\"index\": 2, \"tokens\": [\"c \"], \"weight_version\": 4}\n\n");
const auto END_EVENTS =
    std::string("data: {\"done\": true, \"prompt_tokens\": 1, \"generated_tokens\": 3, "
                "\"cached_tokens\": 0}\n\ndata: [DONE]\n\n");

auto outcomeWithRanges(std::vector<TokenRange> ranges) -> request::execution::RequestOutcome
{
    auto outcome = request::execution::RequestOutcome {};
    outcome.body = TOKEN_EVENTS + END_EVENTS;
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

TEST(Step, Step_Sample_IsParsedWithItsTokenRanges)
{
    const auto sample = parseSample(TOKEN_EVENTS + END_EVENTS, 3);
    ASSERT_TRUE(sample.ok());
    EXPECT_EQ(sample->text, "a b c ");
    EXPECT_EQ(sample->ranges, (std::vector<TokenRange> { { 3, 0, 2 }, { 4, 2, 1 } }));
    EXPECT_EQ(sample->oldestVersion(), 3U);
    EXPECT_EQ(sample->newestVersion(), 4U);
}

TEST(Step, Step_Sample_RejectsContradictoryStreams)
{
    const auto gap =
        std::string("data: {\"index\": 1, \"tokens\": [\"a \"], \"weight_version\": 3}\n\n");
    const auto noVersion =
        std::string("data: {\"index\": 0, \"tokens\": [\"a \", \"b \", \"c \"]}\n\n");
    EXPECT_FALSE(parseSample(gap + END_EVENTS, 3).ok());
    EXPECT_FALSE(parseSample(noVersion + END_EVENTS, 3).ok());
    EXPECT_FALSE(parseSample(TOKEN_EVENTS, 3).ok());
    EXPECT_FALSE(parseSample(TOKEN_EVENTS + END_EVENTS, 4).ok());
    EXPECT_FALSE(parseSample(TOKEN_EVENTS + TOKEN_EVENTS + END_EVENTS, 3).ok());
    EXPECT_FALSE(parseSample("data: {\"index\":\n\n" + END_EVENTS, 3).ok());
    EXPECT_FALSE(parseSample("", 3).ok());
}

TEST(Step, Step_Sample_RangesMustMatchTheDispatcher)
{
    EXPECT_TRUE(makeSample(outcomeWithRanges({}), 3).ok());
    EXPECT_TRUE(makeSample(outcomeWithRanges({ { 3, 0, 1 }, { 3, 1, 1 }, { 4, 2, 1 } }), 3).ok());
    EXPECT_FALSE(makeSample(outcomeWithRanges({ { 4, 0, 3 } }), 3).ok());
}
