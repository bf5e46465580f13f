// Scoring calls come in clumps: all groups of a training step end within a second, on servers that
// callers' latency-critical requests share. Without a limit the clump takes all slots and the
// callers' requests wait in the servers' queues; without an order by group many groups are nearly
// complete and none is.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>

#include "request/scoring/scoringplacement.h"

using namespace nutmegplank::request::scoring;
using namespace nutmegplank;
using namespace std::chrono_literals;

namespace {

constexpr auto SLOTS = 6U;
constexpr auto ANY_NUMBER = 1000U;

auto makeServers(std::size_t count) -> std::vector<ScoringServer>
{
    auto servers = std::vector<ScoringServer>();
    for (auto number = std::size_t(0); number < count; ++number) {
        auto server = ScoringServer { "s" + std::to_string(number), "book", SLOTS };
        server.startsLeft = ANY_NUMBER;
        servers.push_back(std::move(server));
    }
    return servers;
}

auto makeClump(std::size_t calls) -> std::vector<WaitingCall>
{
    auto clump = std::vector<WaitingCall>();
    for (auto handle = std::size_t(0); handle < calls; ++handle)
        clump.push_back({ handle, "book", base::TimePoint(10s), 4, {} });
    return clump;
}

} // namespace

TEST(ScoringPlacement, ScoringPlacement_Clump_LeavesSlotsForCallersOnEachServer)
{
    auto servers = makeServers(6);
    const auto assignments = placeCalls(makeClump(204), servers);
    EXPECT_EQ(assignments.size(), 24U);
    for (const auto &server : servers)
        EXPECT_EQ(server.running, 4U);
}

TEST(ScoringPlacement, ScoringPlacement_NearlyCompleteGroup_GoesFirst)
{
    auto servers = makeServers(1);
    auto clump = makeClump(20);
    clump[13].unfinishedInGroup = 1;
    clump[17].unfinishedInGroup = 2;
    const auto assignments = placeCalls(std::move(clump), servers);
    ASSERT_EQ(assignments.size(), 4U);
    EXPECT_EQ(assignments[0].handle, 13U);
    EXPECT_EQ(assignments[1].handle, 17U);
}

TEST(ScoringPlacement, ScoringPlacement_EarlierBatch_GoesBeforeSmallerGroups)
{
    auto servers = makeServers(1);
    auto clump = makeClump(8);
    clump[2].unfinishedInGroup = 1;
    clump[6].dueAt = base::TimePoint(5s);
    EXPECT_EQ(placeCalls(std::move(clump), servers).front().handle, 6U);
}

TEST(ScoringPlacement, ScoringPlacement_SlowServer_GetsFewerCalls)
{
    auto servers = makeServers(2);
    servers[0].latency = 300ms;
    servers[1].latency = 80ms;
    placeCalls(makeClump(4), servers);
    EXPECT_EQ(servers[0].running, 1U);
    EXPECT_EQ(servers[1].running, 3U);
}

TEST(ScoringPlacement, ScoringPlacement_FailedServer_IsAvoidedWhileOthersAreFree)
{
    auto servers = makeServers(2);
    auto calls = makeClump(1);
    calls[0].avoidedServer = "s0";
    const auto assignments = placeCalls(calls, servers);
    ASSERT_EQ(assignments.size(), 1U);
    EXPECT_EQ(assignments[0].server, 1U);
    auto onlyServer = makeServers(1);
    EXPECT_EQ(placeCalls(calls, onlyServer).size(), 1U);
}

TEST(ScoringPlacement, ScoringPlacement_SingleSlot_StillTakesOneCall)
{
    auto servers = makeServers(1);
    servers[0].slots = 1;
    EXPECT_EQ(placeCalls(makeClump(3), servers).size(), 1U);
}

RC_GTEST_PROP(ScoringPlacement, ScoringPlacement_AnyLoad_KeepsAllLimits, ())
{
    auto servers = std::vector<ScoringServer>();
    const auto serverCount = *rc::gen::inRange(0, 8);
    for (auto number = 0; number < serverCount; ++number) {
        auto server = ScoringServer { "s" + std::to_string(number),
                                      *rc::gen::element<std::string>("book", "desk") };
        server.slots = *rc::gen::inRange(1U, 12U);
        server.running = *rc::gen::inRange(0U, 14U);
        server.startsLeft = *rc::gen::inRange(0U, 5U);
        server.latency = std::chrono::milliseconds(*rc::gen::inRange(0, 400));
        servers.push_back(std::move(server));
    }
    auto calls = makeClump(*rc::gen::inRange<std::size_t>(0, 60));
    for (auto &call : calls)
        call.service = *rc::gen::element<std::string>("book", "desk");
    const auto before = servers;
    const auto assignments = placeCalls(calls, servers);
    auto handles = std::set<std::size_t>();
    auto started = std::map<std::size_t, std::uint32_t>();
    for (const auto &assignment : assignments) {
        RC_ASSERT(handles.insert(assignment.handle).second);
        RC_ASSERT(servers[assignment.server].service == calls[assignment.handle].service);
        ++started[assignment.server];
    }
    for (const auto &[index, count] : started) {
        const auto &server = before[index];
        RC_ASSERT(count <= server.startsLeft);
        RC_ASSERT(server.running + count <= std::max(1U, server.slots - server.slots / 3));
    }
}
