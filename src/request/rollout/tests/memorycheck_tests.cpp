#include <gtest/gtest.h>

#include "request/rollout/memorycheck.h"

using namespace nutmegplank;
using namespace nutmegplank::request::rollout;

namespace {

auto makeTable(std::uint64_t memory, std::uint64_t otherMemory) -> version::routing::RoutingTable
{
    auto table = version::routing::RoutingTable();
    auto route = version::routing::Route();
    route.name = "steps";
    route.host = "h";
    route.pathPrefix = "/steps/";
    route.services = { { "engines", 1.0 }, { "others", 1.0 } };
    table.routes.push_back(route);
    for (const auto &[name, tokens] : { std::pair("engines", memory), { "others", otherMemory } }) {
        auto service = version::routing::Service();
        service.name = name;
        service.engine = version::routing::EngineTraits { 8, tokens, 1 };
        table.services[name] = service;
    }
    return table;
}

auto makeBatch(std::vector<std::uint64_t> prompts, std::uint32_t groupCount)
    -> version::batch::Submission
{
    auto submission = version::batch::Submission();
    submission.head.host = "h";
    submission.head.groupCount = groupCount;
    for (const auto prompt : prompts) {
        auto item = version::batch::Item();
        item.id = "item" + std::to_string(submission.items.size());
        item.group = "group" + std::to_string(submission.items.size());
        item.path = "/steps/1";
        item.promptTokens = prompt;
        submission.items.push_back(std::move(item));
    }
    return submission;
}

} // namespace

//! A batch that could never be complete was accepted, and its trainer waited for its whole time.
TEST(MemoryCheck, FindUnrunnable_PromptsLargerThanAllEngines_BlockTheBatch)
{
    const auto table = makeTable(40'000, 30'000);
    const auto found = findUnrunnable(makeBatch({ 300, 59'800, 40'000 }, 2), table);
    EXPECT_EQ(found.items, 2U);
    EXPECT_EQ(found.firstItem, "item1");
    EXPECT_TRUE(found.blocksBatch);
}

TEST(MemoryCheck, FindUnrunnable_EnoughOtherGroups_BatchIsNotBlocked)
{
    const auto table = makeTable(40'000, 30'000);
    const auto found = findUnrunnable(makeBatch({ 300, 59'800, 300 }, 2), table);
    EXPECT_EQ(found.items, 1U);
    EXPECT_FALSE(found.blocksBatch);
}

TEST(MemoryCheck, FindUnrunnable_OneServiceHasTheMemory_NothingIsFound)
{
    const auto table = makeTable(40'000, 30'000);
    EXPECT_EQ(findUnrunnable(makeBatch({ 39'999 }, 1), table).items, 0U);
}

TEST(MemoryCheck, FindUnrunnable_MemoryOrPromptNotKnown_NothingIsFound)
{
    EXPECT_EQ(findUnrunnable(makeBatch({ 59'800 }, 1), makeTable(40'000, 0)).items, 0U);
    EXPECT_EQ(findUnrunnable(makeBatch({ 0 }, 1), makeTable(40'000, 30'000)).items, 0U);
}

TEST(MemoryCheck, MayHoldPrompt_ServiceWithoutAShareOfTheRoute_DoesNotCount)
{
    auto table = makeTable(40'000, 80'000);
    EXPECT_TRUE(mayHoldPrompt(table, table.routes[0], 59'800));
    table.routes[0].services[1].weight = 0;
    EXPECT_FALSE(mayHoldPrompt(table, table.routes[0], 59'800));
}
