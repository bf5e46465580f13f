#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "request/rollout/eventreader.h"

using namespace nutmegplank::request::rollout;

namespace {

constexpr auto STREAM = std::string_view("x-weight-versions: 3\nid: 1\ndata: one\n\n"
                                         ": comment\n\nid: 2\ndata: two\ndata: more\n\n"
                                         "id:3\r\ndata:three\r\n\r\n");

} // namespace

RC_GTEST_PROP(EventReader, EventReader_BytesInArbitraryChunks_YieldTheSameEvents, ())
{
    auto reader = EventReader("x-weight-versions");
    auto rest = STREAM;
    auto events = std::vector<Event>();
    while (!rest.empty()) {
        const auto size = *rc::gen::inRange<std::size_t>(1, rest.size() + 1);
        const auto part = reader.feed(rest.substr(0, size));
        RC_ASSERT(part.has_value());
        events.insert(events.end(), part->begin(), part->end());
        rest.remove_prefix(size);
    }
    RC_ASSERT(events.size() == 3U);
    RC_ASSERT(events[0].weightVersion == 3U);
    RC_ASSERT(events[1].data == "two\nmore");
    RC_ASSERT(events[2].id == 3U);
    RC_ASSERT(events[2].data == "three");
    RC_ASSERT(reader.atBoundary());
}

TEST(EventReader, EventReader_IncompleteEvent_IsNotAtBoundary)
{
    auto reader = EventReader("x-weight-versions");
    ASSERT_TRUE(reader.feed("id: 1\ndata: on").has_value());
    EXPECT_FALSE(reader.atBoundary());
}

TEST(EventReader, EventReader_EventWithoutId_IsMalformed)
{
    auto reader = EventReader("x-weight-versions");
    EXPECT_FALSE(reader.feed("data: one\n\n").has_value());
}

//! Callers could not read any result of a batch in which one event held bytes that are not UTF-8.
TEST(EventReader, EventReader_DataThatIsNotUtf8_IsMalformed)
{
    for (const auto *data : { "\x80\x81", "half a character: \xE2\x82", "\xED\xA0\x80" }) {
        auto reader = EventReader("x-weight-versions");
        ASSERT_TRUE(reader.feed("id: 1\ndata: sound\n\n").has_value());
        EXPECT_FALSE(reader.feed(std::string("id: 2\ndata: ") + data + "\n\n").has_value());
        EXPECT_EQ(reader.problem(), "the data of an event is not UTF-8");
    }
}

TEST(EventReader, EventReader_CharacterSplitBetweenReads_IsAccepted)
{
    auto reader = EventReader("x-weight-versions");
    ASSERT_TRUE(reader.feed("id: 1\ndata: \xE2\x82").has_value());
    const auto events = reader.feed("\xAC\n\n");
    ASSERT_TRUE(events.has_value());
    EXPECT_EQ(events->front().data, "\xE2\x82\xAC");
}

//! An engine in trouble sends bytes without end: one line, one event of many lines, or many fields.
TEST(EventReader, EventReader_EventWithoutEnd_IsMalformedAtALimit)
{
    constexpr auto LIMIT = std::size_t(1024 * 1024);
    for (const auto *repeated : { "x", "data: x\n" }) {
        auto reader = EventReader("x-weight-versions");
        auto block = std::string();
        while (block.size() < 4096)
            block += repeated;
        auto fed = std::size_t(0);
        while (fed < LIMIT && reader.feed(block).has_value())
            fed += block.size();
        EXPECT_LT(fed, LIMIT) << repeated;
    }
}

//! Comments keep a connection alive; they are no progress, and nothing of them is kept.
TEST(EventReader, EventReader_Comments_AreNoEvents)
{
    auto reader = EventReader("x-weight-versions");
    for (auto round = 0; round < 1000; ++round)
        EXPECT_TRUE(reader.feed(": still here\n\n")->empty());
    EXPECT_TRUE(reader.atBoundary());
}
