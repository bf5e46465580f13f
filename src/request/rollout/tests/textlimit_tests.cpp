#include <gtest/gtest.h>

#include "request/rollout/eventreader.h"
#include "request/rollout/textlimit.h"
#include "request/rollout/transcript.h"
#include "version/batch/batchcodec.h"

using namespace nutmegplank::request::rollout;
using namespace nutmegplank::version;

namespace {

constexpr auto RECORD_BYTES = std::size_t(262144);

} // namespace

TEST(TextLimit, TextLimit_Item_HasAnEventForEachOutputToken)
{
    EXPECT_EQ(textLimitOf({ 60, 20, RECORD_BYTES, "b", "i" }).events, 40U);
}

TEST(TextLimit, TextLimit_UnknownOutput_BoundsBytesOnly)
{
    const auto limit = textLimitOf({ 20, 20, RECORD_BYTES, "b", "i" });
    EXPECT_EQ(limit.events, TextLimit().events);
    EXPECT_LT(limit.bytes, RECORD_BYTES);
}

TEST(TextLimit, TextLimit_LargestText_FitsARecord)
{
    const auto batchId = std::string(600, 'b');
    const auto itemId = std::string(400, 'i');
    const auto limit = textLimitOf({ 60, 20, RECORD_BYTES, batchId, itemId });
    const auto text = std::string(limit.bytes, 'x');
    const auto versions = std::vector<std::uint64_t>(8, ~std::uint64_t(0));
    const auto score = std::string(100, 's');
    EXPECT_LE(batch::encodeResults(batchId, { { 1, itemId, false, text, versions, score } }).size(),
              RECORD_BYTES);
    EXPECT_LE(
        batch::encodeProgress(batchId, { { 1, 40, 40, text, versions, "software", true } }).size(),
        RECORD_BYTES);
    EXPECT_GT(limit.bytes, RECORD_BYTES - 4096);
}

TEST(TextLimit, Transcript_TextOfAllTokens_IsWholeAndOneMoreEventIsTooLarge)
{
    auto transcript = Transcript({}, { 3, 1000 });
    transcript.beginRun(1, "1.0");
    for (auto id = std::uint64_t(1); id <= 3; ++id)
        EXPECT_EQ(transcript.append({ id, "t", {} }), AppendResult::Appended);
    EXPECT_EQ(transcript.append({ 4, "t", {} }), AppendResult::TooLarge);
    EXPECT_EQ(transcript.text(), "t\nt\nt");
}

TEST(TextLimit, Transcript_TextOfAllBytes_IsWholeAndOneMoreByteIsTooLarge)
{
    auto transcript = Transcript({}, { 10, 5 });
    transcript.beginRun(1, "1.0");
    EXPECT_EQ(transcript.append({ 1, "abc", {} }), AppendResult::Appended);
    EXPECT_EQ(transcript.append({ 2, "de", {} }), AppendResult::TooLarge);
    EXPECT_EQ(transcript.append({ 2, "d", {} }), AppendResult::Appended);
    EXPECT_EQ(transcript.append({ 3, "", {} }), AppendResult::TooLarge);
}

TEST(TextLimit, EventReader_EventAboveItsLimit_IsTooLarge)
{
    auto reader = EventReader("x-weight-versions", 100);
    EXPECT_TRUE(reader.feed("id: 1\ndata: " + std::string(60, 'x')).has_value());
    EXPECT_FALSE(reader.tooLarge());
    EXPECT_FALSE(reader.feed(std::string(60, 'x')).has_value());
    EXPECT_TRUE(reader.tooLarge());
}
