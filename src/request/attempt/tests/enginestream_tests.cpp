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

auto text(const Event &event) -> std::string
{
    auto tokens = std::string();
    for (auto token = 0U; token < event.count; ++token)
        tokens += tokens.empty() ? "\"t \"" : ",\"t \"";
    return base::concat("data: {\"index\":", event.index, ",\"tokens\":[", tokens,
                        "],\"weight_version\":", event.version, "}\n\n");
}

auto endText(std::uint32_t tokens) -> std::string
{
    return base::concat("data: {\"done\":true,\"prompt_tokens\":3,\"generated_tokens\":", tokens,
                        ",\"cached_tokens\":0}\n\ndata: [DONE]\n\n");
}

auto anyEvents() -> std::vector<Event>
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

auto tokensIn(const std::vector<Event> &events) -> std::uint32_t
{
    return events.empty() ? 0 : events.back().index + events.back().count;
}

auto join(const std::vector<Event> &events, std::uint32_t tokens) -> std::string
{
    auto joined = std::string();
    for (const auto &event : events)
        joined += text(event);
    return joined + endText(tokens);
}

//! Feeds \a whole in pieces of any size.
auto feedInPieces(EngineStream &stream, std::string_view whole) -> absl::Status
{
    while (!whole.empty()) {
        const auto size = *rc::gen::inRange<std::size_t>(1, whole.size() + 1);
        const auto fed = stream.feed(whole.substr(0, size));
        if (!fed.ok())
            return fed;
        whole.remove_prefix(size);
    }
    return stream.finish();
}

} // namespace

RC_GTEST_PROP(EngineStream, EngineStream_AnyPieces_GiveTheSameRanges, ())
{
    const auto events = anyEvents();
    auto stream = EngineStream();
    RC_ASSERT(feedInPieces(stream, join(events, tokensIn(events))).ok());
    RC_ASSERT(stream.generatedTokens() == tokensIn(events));
    auto versions = std::vector<std::uint64_t>(tokensIn(events), 0);
    for (const auto &range : stream.ranges()) {
        for (auto token = 0U; token < range.token_count(); ++token)
            versions.at(range.first_token() + token) = range.weight_version();
    }
    for (const auto &event : events) {
        for (auto token = 0U; token < event.count; ++token)
            RC_ASSERT(versions.at(event.index + token) == event.version);
    }
}

RC_GTEST_PROP(EngineStream, EngineStream_AnyDamage_IsNoticed, ())
{
    auto events = anyEvents();
    const auto tokens = tokensIn(events);
    const auto hit = *rc::gen::inRange<std::size_t>(0, events.size());
    auto whole = std::string();
    switch (*rc::gen::inRange(0, 5)) {
    case 0: // An event is lost.
        events.erase(events.begin() + static_cast<std::ptrdiff_t>(hit));
        whole = join(events, tokens);
        break;
    case 1: // An event comes twice.
        events.insert(events.begin() + static_cast<std::ptrdiff_t>(hit), events[hit]);
        whole = join(events, tokens);
        break;
    case 2: // A version is missing.
        events[hit].version = 0;
        whole = join(events, tokens);
        break;
    case 3: // The totals are wrong.
        whole = join(events, tokens + *rc::gen::inRange(1U, 5U));
        break;
    default: // The end is cut off.
        whole = join(events, tokens);
        whole.resize(*rc::gen::inRange<std::size_t>(0, whole.find("data: {\"done\"")));
    }
    auto stream = EngineStream();
    RC_ASSERT(!feedInPieces(stream, whole).ok());
}

TEST(EngineStream, EngineStream_ResumedRequest_BeginsAfterItsTokens)
{
    const auto *body = R"({"prompt":"p","resume":{"text":"x","ranges":[
        {"weight_version":1,"first_token":0,"token_count":4},
        {"weight_version":2,"first_token":4,"token_count":3}]}})";
    auto stream = EngineStream(resumedTokens(body));
    EXPECT_TRUE(stream.feed(text({ 7, 2, 3 }) + endText(2)).ok());
    EXPECT_TRUE(stream.finish().ok());
    EXPECT_EQ(stream.ranges().front().first_token(), 7U);
    auto wrong = EngineStream(resumedTokens(body));
    EXPECT_FALSE(wrong.feed(text({ 0, 2, 3 })).ok());
}
