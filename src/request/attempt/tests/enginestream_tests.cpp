#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "base/text.h"
#include "request/attempt/enginestream.h"

using namespace nutmegplank;
using namespace nutmegplank::request::attempt;

namespace {

struct Event
{
    std::uint32_t index;
    std::uint32_t count;
    std::uint64_t version;
};

auto eventText(const Event &event) -> std::string
{
    auto tokens = std::string();
    for (auto token = 0U; token < event.count; ++token)
        tokens += tokens.empty() ? "\"t \"" : ",\"t \"";
    return base::concat("data: {\"index\":", event.index, ",\"tokens\":[", tokens,
                        "],\"weight_version\":", event.version, "}\n\n");
}

auto totalsText(std::uint32_t tokens) -> std::string
{
    return base::concat("data: {\"done\":true,\"prompt_tokens\":3,\"generated_tokens\":", tokens,
                        ",\"cached_tokens\":0}\n\ndata: [DONE]\n\n");
}

auto generateEvents() -> std::vector<Event>
{
    auto events = std::vector<Event>();
    auto next = 0U;
    auto version = std::uint64_t(1);
    const auto count = *rc::gen::inRange(1, 20);
    for (auto number = 0; number < count; ++number) {
        version += *rc::gen::inRange(0U, 2U);
        const auto tokens = *rc::gen::inRange(1U, 4U);
        events.push_back({ next, tokens, version });
        next += tokens;
    }
    return events;
}

auto tokenCountOf(const std::vector<Event> &events) -> std::uint32_t
{
    return events.empty() ? 0 : events.back().index + events.back().count;
}

auto joinEvents(const std::vector<Event> &events, std::uint32_t tokens) -> std::string
{
    auto joined = std::string();
    for (const auto &event : events)
        joined += eventText(event);
    return joined + totalsText(tokens);
}

//! Feeds \a streamText in pieces of random size.
auto feedInPieces(EngineStream &stream, std::string_view streamText) -> absl::Status
{
    while (!streamText.empty()) {
        const auto size = *rc::gen::inRange<std::size_t>(1, streamText.size() + 1);
        const auto fed = stream.feed(streamText.substr(0, size));
        if (!fed.ok())
            return fed;
        streamText.remove_prefix(size);
    }
    return stream.finish();
}

} // namespace

RC_GTEST_PROP(EngineStream, EngineStream_ArbitraryPieces_GiveTheSameRanges, ())
{
    const auto events = generateEvents();
    auto stream = EngineStream();
    RC_ASSERT(feedInPieces(stream, joinEvents(events, tokenCountOf(events))).ok());
    RC_ASSERT(stream.generatedTokens() == tokenCountOf(events));
    auto versions = std::vector<std::uint64_t>(tokenCountOf(events), 0);
    for (const auto &range : stream.ranges()) {
        for (auto token = 0U; token < range.token_count(); ++token)
            versions.at(range.first_token() + token) = range.weight_version();
    }
    for (const auto &event : events) {
        for (auto token = 0U; token < event.count; ++token)
            RC_ASSERT(versions.at(event.index + token) == event.version);
    }
}

RC_GTEST_PROP(EngineStream, EngineStream_DamagedStream_IsRejected, ())
{
    auto events = generateEvents();
    const auto tokens = tokenCountOf(events);
    const auto damagedEvent = *rc::gen::inRange<std::size_t>(0, events.size());
    auto streamText = std::string();
    switch (*rc::gen::inRange(0, 5)) {
    case 0: // An event is lost.
        events.erase(events.begin() + static_cast<std::ptrdiff_t>(damagedEvent));
        streamText = joinEvents(events, tokens);
        break;
    case 1: // An event is duplicated.
        events.insert(events.begin() + static_cast<std::ptrdiff_t>(damagedEvent),
                      events[damagedEvent]);
        streamText = joinEvents(events, tokens);
        break;
    case 2: // A version is missing.
        events[damagedEvent].version = 0;
        streamText = joinEvents(events, tokens);
        break;
    case 3: // The totals are wrong.
        streamText = joinEvents(events, tokens + *rc::gen::inRange(1U, 5U));
        break;
    default: // The stream is truncated.
        streamText = joinEvents(events, tokens);
        streamText.resize(*rc::gen::inRange<std::size_t>(0, streamText.find("data: {\"done\"")));
    }
    auto stream = EngineStream();
    RC_ASSERT(!feedInPieces(stream, streamText).ok());
}

TEST(EngineStream, EngineStream_ResumedRequest_BeginsAfterItsTokens)
{
    const auto *body = R"({"prompt":"p","resume":{"text":"x","ranges":[
        {"weight_version":1,"first_token":0,"token_count":4},
        {"weight_version":2,"first_token":4,"token_count":3}]}})";
    auto stream = EngineStream(resumedTokens(body));
    EXPECT_TRUE(stream.feed(eventText({ 7, 2, 3 }) + totalsText(2)).ok());
    EXPECT_TRUE(stream.finish().ok());
    EXPECT_EQ(stream.ranges().front().first_token(), 7U);
    auto wrong = EngineStream(resumedTokens(body));
    EXPECT_FALSE(wrong.feed(eventText({ 0, 2, 3 })).ok());
}
