#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "request/placement/iplacement.h"
#include "request/placement/prefixindex.h"

using namespace nutmegplank;
using namespace nutmegplank::request::placement;

namespace {

constexpr auto NOW = base::TimePoint(std::chrono::seconds(100));

auto makeServer(const std::string &id, std::uint32_t running = 0, bool cheap = false) -> Candidate
{
    auto made = Candidate();
    made.id = id;
    made.alive = true;
    made.cheap = cheap;
    made.running = running;
    made.limit = 10;
    made.weightVersion = 5;
    return made;
}

auto arbitraryServer(int number) -> Candidate
{
    auto made =
        makeServer(std::to_string(number), *rc::gen::inRange(0U, 12U), *rc::gen::arbitrary<bool>());
    made.alive = *rc::gen::inRange(0, 4) != 0;
    made.leaving = *rc::gen::inRange(0, 4) == 0;
    made.zoneOut = *rc::gen::inRange(0, 4) == 0;
    made.held = *rc::gen::inRange(0, 4) == 0;
    made.isolated = *rc::gen::inRange(0, 6) == 0;
    made.weightVersion = *rc::gen::inRange<std::uint64_t>(0, 6);
    return made;
}

//! The rules of isEligible() in an independent form.
auto mayTake(const Candidate &candidate, const PlacementRequest &request) -> bool
{
    auto allowed = candidate.alive && !candidate.leaving && !candidate.zoneOut;
    allowed = allowed && !candidate.held && !candidate.isolated;
    allowed = allowed && candidate.running < candidate.limit;
    allowed = allowed && candidate.weightVersion >= request.minWeightVersion;
    allowed = allowed && (!request.isolate || candidate.running == 0);
    for (const auto &avoided : request.avoidServers)
        allowed = allowed && avoided != candidate.id;
    return allowed;
}

} // namespace

RC_GTEST_PROP(Placement, Placement_AnyPolicy_PicksServerIfAndOnlyIfAllowed, ())
{
    const auto policy = *rc::gen::element(PlacementPolicy::Aware, PlacementPolicy::RoundRobin,
                                          PlacementPolicy::LeastConnections);
    const auto placement =
        makePlacement(policy, [](const std::string &, const std::string &) { return 1.0; });
    auto servers = std::vector<Candidate>();
    const auto count = *rc::gen::inRange(0, 8);
    for (auto number = 0; number < count; ++number)
        servers.push_back(arbitraryServer(number));
    const auto avoided = std::vector<std::string> { std::to_string(*rc::gen::inRange(0, 8)) };
    auto request = PlacementRequest();
    request.idempotent = *rc::gen::arbitrary<bool>();
    request.isolate = *rc::gen::arbitrary<bool>();
    request.minWeightVersion = *rc::gen::inRange<std::uint64_t>(0, 6);
    request.avoidServers = avoided;
    request.prefixKey = "p";
    const auto picked = placement->pick(servers, request);
    const auto anyAllowed = std::any_of(servers.begin(), servers.end(), [&](const auto &candidate) {
        return mayTake(candidate, request);
    });
    RC_ASSERT(picked.has_value() == anyAllowed);
    if (picked.has_value())
        RC_ASSERT(mayTake(servers[*picked], request));
}

TEST(Placement, Placement_Aware_PrefersCachedPrefixUnlessServerIsLoaded)
{
    const auto placement =
        makePlacement(PlacementPolicy::Aware, [](const std::string &id, const std::string &) {
            return id == "cached" ? 1.0 : 0.0;
        });
    auto request = PlacementRequest();
    request.idempotent = true;
    request.prefixKey = "p";
    auto servers = std::vector { makeServer("other", 2), makeServer("cached", 4) };
    EXPECT_EQ(placement->pick(servers, request), 1U);
    servers[1].running = 8;
    EXPECT_EQ(placement->pick(servers, request), 0U);
}

TEST(Placement, Placement_Aware_AvoidsCheapServersForNonIdempotentRequests)
{
    const auto placement = makePlacement(PlacementPolicy::Aware, {});
    const auto servers = std::vector { makeServer("cheap", 0, true), makeServer("dear", 2) };
    auto nonIdempotentRequest = PlacementRequest();
    EXPECT_EQ(placement->pick(servers, nonIdempotentRequest), 1U);
    auto idempotentRequest = PlacementRequest();
    idempotentRequest.idempotent = true;
    EXPECT_EQ(placement->pick(servers, idempotentRequest), 0U);
}

TEST(Placement, PrefixIndex_LostEvents_FallsBackToSentPrefixes)
{
    auto index = PrefixIndex(10);
    index.onSent("s", "p", NOW);
    const auto sent = index.probability("s", "p", NOW);
    EXPECT_GT(sent, 0);
    index.onEvent("s", { 1, true, "p" }, NOW);
    EXPECT_EQ(index.probability("s", "p", NOW), 1);
    index.onEvent("s", { 5, true, "q" }, NOW);
    EXPECT_EQ(index.probability("s", "p", NOW), sent);
}

TEST(Placement, PrefixIndex_LateEviction_KeepsLaterUse)
{
    auto index = PrefixIndex(10);
    index.onSent("s", "p", NOW);
    index.onEvent("s", { 1, false, "p" }, NOW + std::chrono::milliseconds(300));
    EXPECT_GT(index.probability("s", "p", NOW), 0);
    index.onEvent("s", { 2, false, "p" }, NOW + std::chrono::seconds(10));
    EXPECT_EQ(index.probability("s", "p", NOW), 0);
}

TEST(Placement, PrefixIndex_ManyPrefixes_KeepsLatest)
{
    auto index = PrefixIndex(2);
    for (const auto *key : { "a", "b", "c" })
        index.onSent("s", key, NOW);
    EXPECT_EQ(index.probability("s", "a", NOW), 0);
    EXPECT_GT(index.probability("s", "c", NOW), 0);
    index.forget("s");
    EXPECT_EQ(index.probability("s", "c", NOW), 0);
}
