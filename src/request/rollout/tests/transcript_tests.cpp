#include <gtest/gtest.h>

#include "request/rollout/transcript.h"

using namespace nutmegplank::request::rollout;

namespace {

auto event(std::uint64_t id, std::string data, std::optional<std::uint64_t> version = {}) -> Event
{
    return { id, std::move(data), version };
}

} // namespace

TEST(Transcript, Transcript_ResumedText_KeepsTheSoftwareThatBeganIt)
{
    auto transcript = Transcript(TranscriptRules {});
    transcript.beginRun(4, "1.0");
    transcript.append({ 1, "a" });
    transcript.beginRun(4, "2.0");
    EXPECT_EQ(transcript.software(), "1.0");
    transcript.reset();
    transcript.beginRun(4, "2.0");
    EXPECT_EQ(transcript.software(), "2.0");
}

TEST(Transcript, Transcript_ResumedAtAnotherEngine_ListsBothVersions)
{
    auto transcript = Transcript({ 4, false });
    transcript.beginRun(4, "1.0");
    EXPECT_EQ(transcript.append(event(1, "a")), AppendResult::Appended);
    transcript.beginRun(5, "1.0");
    EXPECT_EQ(transcript.append(event(2, "b")), AppendResult::Appended);
    EXPECT_EQ(transcript.text(), "a\nb");
    EXPECT_EQ(transcript.versions(), (std::vector<std::uint64_t> { 4, 5 }));
}

TEST(Transcript, Transcript_RunWithoutAnEvent_AddsNoVersion)
{
    auto transcript = Transcript({ 4, false });
    transcript.beginRun(4, "1.0");
    transcript.append(event(1, "a"));
    transcript.beginRun(5, "1.0");
    EXPECT_EQ(transcript.versions(), std::vector<std::uint64_t> { 4 });
}

TEST(Transcript, Transcript_MissingOrRepeatedEvent_IsAGap)
{
    auto transcript = Transcript({ 0, false });
    transcript.beginRun(1, "1.0");
    EXPECT_EQ(transcript.append(event(2, "late start")), AppendResult::Gap);
    EXPECT_EQ(transcript.append(event(1, "a")), AppendResult::Appended);
    EXPECT_EQ(transcript.append(event(1, "a")), AppendResult::Gap);
    EXPECT_EQ(transcript.append(event(3, "c")), AppendResult::Gap);
}

TEST(Transcript, Transcript_OldOrUnknownWeights_AreRejected)
{
    auto transcript = Transcript({ 4, false });
    transcript.beginRun({}, "1.0");
    EXPECT_EQ(transcript.append(event(1, "a")), AppendResult::NoVersion);
    transcript.beginRun(3, "1.0");
    EXPECT_EQ(transcript.append(event(1, "a")), AppendResult::OldVersion);
    EXPECT_TRUE(transcript.empty());
}

TEST(Transcript, Transcript_SingleVersionRoute_RejectsASecondVersion)
{
    auto transcript = Transcript({ 0, true });
    transcript.beginRun(4, "1.0");
    EXPECT_EQ(transcript.append(event(1, "a")), AppendResult::Appended);
    EXPECT_EQ(transcript.append(event(2, "b", 5)), AppendResult::MixedVersions);
}

TEST(Transcript, Transcript_Restored_ContinuesAfterItsLastEvent)
{
    auto transcript = Transcript({ 4, false });
    transcript.restore(2, 2, "a\nb", { 4 }, "1.0");
    transcript.beginRun(5, "1.0");
    EXPECT_EQ(transcript.append(event(1, "a")), AppendResult::Gap);
    EXPECT_EQ(transcript.append(event(3, "c")), AppendResult::Appended);
    EXPECT_EQ(transcript.text(), "a\nb\nc");
    EXPECT_EQ(transcript.versions(), (std::vector<std::uint64_t> { 4, 5 }));
}
