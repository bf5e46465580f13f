#include <gtest/gtest.h>

#include "version/batch/batchcodec.h"

using namespace nutmegplank::version::batch;

namespace {

auto largeSubmission() -> Submission
{
    auto submission = Submission();
    submission.head.id = "b";
    submission.head.minVersion = 7;
    for (auto index = 0; index < 20; ++index) {
        auto item = Item();
        item.id = "item" + std::to_string(index);
        item.body = std::string(500, static_cast<char>(index));
        item.headers = { { "X-Model", "m" } };
        item.promptTokens = 271;
        submission.items.push_back(item);
    }
    return submission;
}

} // namespace

TEST(BatchCodec, BatchCodec_SubmissionLargerThanARecord_IsReassembled)
{
    constexpr auto RECORD_BYTES = std::size_t(2048);
    const auto records = encodeSubmission(largeSubmission(), "try", RECORD_BYTES);
    EXPECT_GT(records.size(), 5U);
    auto assembler = SubmissionAssembler("b", "try");
    for (const auto &record : records) {
        EXPECT_LE(record.size(), RECORD_BYTES);
        EXPECT_FALSE(assembler.complete());
        assembler.addRecord(record);
    }
    ASSERT_TRUE(assembler.complete());
    const auto read = assembler.finish();
    ASSERT_TRUE(read.has_value());
    EXPECT_EQ(read->head.minVersion, 7U);
    EXPECT_EQ(read->items.size(), 20U);
    EXPECT_EQ(read->items[19].body, std::string(500, '\x13'));
}

//! The id of a batch is a header of its call, and may be long.
TEST(BatchCodec, BatchCodec_SubmissionWithALongId_FitsItsRecords)
{
    constexpr auto RECORD_BYTES = std::size_t(8192);
    auto submission = largeSubmission();
    submission.head.id = std::string(1500, 'b');
    auto assembler = SubmissionAssembler(submission.head.id, "try");
    for (const auto &record : encodeSubmission(submission, "try", RECORD_BYTES)) {
        EXPECT_LE(record.size(), RECORD_BYTES);
        assembler.addRecord(record);
    }
    EXPECT_TRUE(assembler.finish().has_value());
}

TEST(BatchCodec, BatchCodec_PartsOfAnotherAttempt_AreIgnored)
{
    const auto mine = encodeSubmission(largeSubmission(), "mine", 1 << 20);
    const auto other = encodeSubmission(largeSubmission(), "other", 1 << 20);
    auto assembler = SubmissionAssembler("b", "mine");
    assembler.addRecord(other.front());
    assembler.addRecord("no record");
    EXPECT_FALSE(assembler.complete());
    assembler.addRecord(mine.front());
    EXPECT_TRUE(assembler.complete());
}

TEST(BatchCodec, BatchCodec_ResultsOfAnotherBatch_AreNotDecoded)
{
    const auto record = encodeResults("b", { { 0, "i", false, "text", { 3, 4 } } });
    EXPECT_FALSE(decodeResults(record, "c").has_value());
    const auto results = decodeResults(record, "b");
    ASSERT_TRUE(results.has_value());
    EXPECT_EQ(results->front().versions, (std::vector<std::uint64_t> { 3, 4 }));
}

TEST(BatchCodec, BatchCodec_Progress_IsDecodedForItsBatchOnly)
{
    const auto record = encodeProgress("b", { { 3, 17, 17, "so far", { 4, 5 } } });
    EXPECT_FALSE(decodeProgress(record, "c").has_value());
    EXPECT_FALSE(decodeResults(record, "b").has_value());
    const auto progress = decodeProgress(record, "b");
    ASSERT_TRUE(progress.has_value());
    EXPECT_EQ(progress->front().lastEvent, 17U);
    EXPECT_EQ(progress->front().versions, (std::vector<std::uint64_t> { 4, 5 }));
}

TEST(BatchCodec, BatchCodec_ScorerScoreAndCompleteness_AreKept)
{
    auto submission = largeSubmission();
    submission.items[3].scorer =
        Scorer { "s3", "h.example", "/checks/3", std::string("\0\xff", 2) };
    auto assembler = SubmissionAssembler("b", "try");
    for (const auto &record : encodeSubmission(submission, "try", 1 << 20))
        assembler.addRecord(record);
    const auto read = assembler.finish();
    ASSERT_TRUE(read.has_value());
    EXPECT_FALSE(read->items[2].scorer.has_value());
    ASSERT_TRUE(read->items[3].scorer.has_value());
    EXPECT_EQ(read->items[3].scorer->path, "/checks/3");
    EXPECT_EQ(read->items[3].scorer->body, std::string("\0\xff", 2));
    const auto results =
        decodeResults(encodeResults("b", { { 0, "i", false, "text", { 3 }, "stamp" } }), "b");
    EXPECT_EQ(results->front().score, "stamp");
    const auto progress = decodeProgress(
        encodeProgress("b", { { 4, 2, 2, "a\nb", { 3 }, "1.0", true }, { 5, 1, 1, "a", { 3 } } }),
        "b");
    EXPECT_TRUE(progress->front().complete);
    EXPECT_FALSE(progress->back().complete);
    EXPECT_EQ(progress->front().software, "1.0");
}
