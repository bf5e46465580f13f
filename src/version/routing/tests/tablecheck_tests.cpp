#include "version/routing/tablecheck.h"

#include <gtest/gtest.h>

using namespace nutmegplank;
using namespace nutmegplank::version::routing;
using namespace std::chrono_literals;

namespace {

auto makeTable() -> RoutingTable
{
    auto table = RoutingTable();
    table.version = 7;
    auto engine = Service { "model" };
    engine.engine = EngineTraits { 8, 67053, 92 };
    table.services = { { "model", engine }, { "desk", Service { "desk" } } };
    auto batches = Route { "batches", "h", "/a/", RouteKind::Rollout, { { "model" } } };
    auto orders = Route { "orders", "h", "/b/", RouteKind::Idempotent, { { "desk" } } };
    table.routes = { batches, orders };
    table.workspaces["hash"] = Workspace { "w", std::nullopt };
    table.hasWorkspaces = true;
    return table;
}

using Problems = std::vector<std::pair<base::FindingKind, std::string>>;

auto problemsOf(const RoutingTable &table) -> Problems
{
    auto problems = Problems();
    for (const auto &finding : checkTable(table))
        problems.emplace_back(finding.kind, finding.place + ": " + finding.problem);
    return problems;
}

} // namespace

TEST(TableCheck, TableCheck_SoundTable_FindsNothing)
{
    EXPECT_EQ(problemsOf(makeTable()), Problems());
}

TEST(TableCheck, TableCheck_RouteBehindAnother_NeverMatches)
{
    auto table = makeTable();
    table.routes.push_back(table.routes[1]);
    table.routes.back().name = "late";
    EXPECT_EQ(
        problemsOf(table),
        (Problems { { base::FindingKind::NeverMatches,
                      "route \"late\": route \"orders\" has the same host and path prefix" } }));
}

TEST(TableCheck, TableCheck_EntriesWithoutUse_AreNamed)
{
    auto table = makeTable();
    table.routes[1].services[0].weight = 0;
    table.services["desk"].coldRequestsPerSecond = 3;
    table.workspaces.clear();
    const auto never = base::FindingKind::NeverMatches;
    EXPECT_EQ(
        problemsOf(table),
        (Problems {
            { never, "route \"orders\": the weights of its services are all 0" },
            { never, "service \"desk\": no route leads to it" },
            { never,
              "service \"desk\": it has a rate for cold servers, and its servers are never cold" },
            { never,
              "workspaces: there is no key, and no route is open: every request is refused" } }));
}

TEST(TableCheck, TableCheck_LimitsThatContradictEachOther_AreNamed)
{
    auto table = makeTable();
    table.routes[0].resultDeadline = 50s;
    table.routes[1].targetLatency = 11s;
    table.routes[1].maxAttempts = 0;
    table.services["model"].maxConnections = 4;
    const auto contradiction = base::FindingKind::Contradiction;
    EXPECT_EQ(problemsOf(table),
              (Problems { { contradiction,
                            "route \"batches\": its results are due after 50000 ms, and items "
                            "may be given up after 40000 ms" },
                          { contradiction,
                            "route \"orders\": it allows 0 attempts, so that no request can "
                            "run" },
                          { contradiction,
                            "route \"orders\": its target latency, 11000 ms, is longer than "
                            "its timeout, 10000 ms" },
                          { contradiction,
                            "service \"model\": its engines have 8 slots and take 4 "
                            "connections" } }));
}

TEST(TableCheck, TableCheck_Differences_NameWhatIsAddedAlteredAndRemoved)
{
    const auto inForce = makeTable();
    auto next = makeTable();
    EXPECT_EQ(tableDifferences(inForce, next).size(), 1U); // Only that the version is not newer.
    next.version = 9;
    EXPECT_TRUE(tableDifferences(inForce, next).empty());
    next.routes[0].timeout = 12s;
    next.routes[1].name = "desk-orders";
    next.workspaces["second"] = Workspace { "w", std::nullopt };
    const auto lines = tableDifferences(inForce, next);
    ASSERT_EQ(lines.size(), 4U);
    EXPECT_EQ(lines[0].rfind("remove route \"orders\"", 0), 0U);
    EXPECT_EQ(lines[1].rfind("alter route \"batches\"", 0), 0U);
    EXPECT_EQ(lines[2].rfind("add route \"desk-orders\"", 0), 0U);
    EXPECT_EQ(lines[3].rfind("alter workspace \"w\": 1 keys", 0), 0U);
    EXPECT_EQ(lines[3].find("second"), std::string::npos) << "a key's hash is shown";
}
