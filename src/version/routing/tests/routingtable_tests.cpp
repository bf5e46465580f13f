#include <gtest/gtest.h>

#include "base/hash.h"
#include "version/routing/routingtable.h"

using namespace nutmegplank;
using namespace nutmegplank::version::routing;

namespace {

auto makeTable() -> RoutingTable
{
    auto table = RoutingTable();
    for (const auto *prefix : { "/a/", "/a/b/", "/c/" }) {
        auto route = Route();
        route.name = prefix;
        route.host = "h";
        route.pathPrefix = prefix;
        route.services = { { "one", 90 }, { "two", 10 } };
        table.routes.push_back(route);
    }
    table.workspaces[base::sha256Hex("key")] = { "cafe", std::nullopt };
    return table;
}

} // namespace

TEST(RoutingTable, RoutingTable_FindRoute_PrefersLongestPrefixOnTheHost)
{
    const auto table = makeTable();
    EXPECT_EQ(table.findRoute("h", "/a/b/1")->name, "/a/b/");
    EXPECT_EQ(table.findRoute("h", "/a/1")->name, "/a/");
    EXPECT_EQ(table.findRoute("other", "/a/1"), nullptr);
    EXPECT_EQ(table.findRoute("h", "/a"), nullptr);
}

TEST(RoutingTable, RoutingTable_Workspace_IsFoundByHashOfTheKey)
{
    const auto table = makeTable();
    ASSERT_NE(table.findWorkspaceByKey("key"), nullptr);
    EXPECT_EQ(table.findWorkspaceByKey("key")->name, "cafe");
    EXPECT_EQ(table.findWorkspaceByKey("KEY"), nullptr);
    EXPECT_EQ(table.workspaces.count("key"), 0U);
}

TEST(RoutingTable, RoutingTable_PickService_FollowsTheWeights)
{
    const auto table = makeTable();
    EXPECT_EQ(pickService(table.routes[0], 0.0), "one");
    EXPECT_EQ(pickService(table.routes[0], 0.89), "one");
    EXPECT_EQ(pickService(table.routes[0], 0.91), "two");
}

//! No key, a key that nobody holds, and a configuration without workspaces were all the same: an
//! empty name.
TEST(RoutingTable, RoutingTable_OwnerOf_TellsNoKeyFromUnknownKeysAndFromNoWorkspaces)
{
    const auto ofNone = Credential();
    const auto ofKey = Credential { CredentialKind::Key, "key" };
    const auto ofOther = Credential { CredentialKind::Key, "other" };
    const auto ofUnusable = Credential { CredentialKind::Unusable };
    auto table = makeTable();
    table.hasWorkspaces = true;
    EXPECT_EQ(table.ownerOf(ofKey), workspaceOwner("cafe"));
    EXPECT_EQ(table.ownerOf(ofNone), Owner { OwnerKind::Anonymous });
    EXPECT_FALSE(table.ownerOf(ofOther).has_value());
    EXPECT_FALSE(table.ownerOf(ofUnusable).has_value());
    table.workspaces.clear();
    EXPECT_FALSE(table.ownerOf(ofKey).has_value());
    table.hasWorkspaces = false;
    for (const auto &credential : { ofNone, ofKey, ofOther, ofUnusable })
        EXPECT_EQ(table.ownerOf(credential), Owner { OwnerKind::Shared });
}
