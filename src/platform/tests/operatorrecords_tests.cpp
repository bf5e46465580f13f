#include <gtest/gtest.h>

#include "platform/operatorrecords.h"

using namespace nutmegplank;
using namespace nutmegplank::platform;
using namespace std::chrono_literals;
using version::routing::RouteKind;

namespace {

constexpr auto CONFIGURATION = R"({"version":7,
  "routes":[
   {"name":"r1","host":"h","path_prefix":"/a/","kind":"safe","timeout_ms":1500,"target_latency_ms":150,
    "traffic_split":[{"service":"x","weight":90},{"service":"y","weight":10}],"max_attempts":2,"public":true},
   {"name":"r2","host":"h","path_prefix":"/b/","kind":"rollout","service":"x","retention_s":40.0,
    "result_deadline_ms":7500,"single_version":true},
   {"name":"r3","host":"h","path_prefix":"/c/","kind":"new word","service":"x"}],
  "services":[{"name":"x","max_connections":160,"cold_start_s":3.0,"cold_per_s":17.0,
    "engine":{"slots":16,"kv_cache_tokens":35986,"stride":42,"models":[{"name":"m"}]},
    "scaling":{"min":1,"max":4,"startup_s":4.0,"zone_prices":{"a":1.0}}},{"name":"y"}],
  "limits":{"max_header_bytes":100,"idle_timeout_ms":15000},
  "tenants":[{"name":"cafe","api_keys":["k1","k2"],"priority":1}]})";

} // namespace

TEST(OperatorRecords, OperatorRecords_Configuration_IsDecodedIntoRoutingTable)
{
    const auto table = readConfiguration({ "config", CONFIGURATION, 41 });
    ASSERT_TRUE(table.ok()) << table.status();
    const auto &routes = (*table)->routes;
    EXPECT_EQ((*table)->version, 7U);
    EXPECT_EQ(routes[0].kind, RouteKind::Idempotent);
    EXPECT_TRUE(routes[0].open);
    EXPECT_EQ(routes[0].services.size(), 2U);
    EXPECT_EQ(routes[1].kind, RouteKind::Rollout);
    EXPECT_EQ(routes[1].retention, 40s);
    EXPECT_TRUE(routes[1].singleVersion);
    const auto *service = (*table)->findService("x");
    ASSERT_NE(service, nullptr);
    EXPECT_EQ(service->engine->tokensPerEvent, 42U);
    EXPECT_EQ(service->scaling->most, 4U);
    EXPECT_EQ((*table)->limits.idleTime, 15s);
    EXPECT_EQ((*table)->findWorkspaceByKey("k2")->name, "cafe");
}

//! A configuration without tenants tells no callers apart; one with an empty list knows no key.
//! What belonged to a tenant without a name could not be told from what belongs to nobody.
TEST(OperatorRecords, OperatorRecords_Tenants_AreNoneOrNamed)
{
    using version::routing::Credential;
    using version::routing::CredentialKind;
    using version::routing::OwnerKind;
    const auto read = [](const std::string &tenants) {
        const auto value = R"({"version":1,"routes":[],"services":[])" + tenants + "}";
        return *readConfiguration({ "config", value, 41 });
    };
    const auto credential = Credential { CredentialKind::Key, "k1" };
    EXPECT_EQ(read("")->ownerOf(credential)->kind, OwnerKind::Shared);
    EXPECT_FALSE(read(R"(,"tenants":[])")->ownerOf(credential).has_value());
    const auto unnamed = read(R"(,"tenants":[{"name":"","api_keys":["k1"]},{"api_keys":["k1"]}])");
    EXPECT_FALSE(unnamed->ownerOf(credential).has_value());
}

TEST(OperatorRecords, OperatorRecords_UnknownRouteKind_IsUnsafe)
{
    const auto table = readConfiguration({ "config", CONFIGURATION, 41 });
    EXPECT_EQ((*table)->routes[2].kind, RouteKind::Unsafe);
}

TEST(OperatorRecords, OperatorRecords_MalformedConfiguration_ErrorNamesOffset)
{
    for (const auto *value :
         { "{", "[]", R"({"version":1})", R"({"version":"1","routes":[],"services":[]})",
           R"({"version":1,"routes":[{"host":"h"}],"services":[]})" }) {
        const auto table = readConfiguration({ "config", value, 41 });
        EXPECT_FALSE(table.ok()) << value;
        EXPECT_NE(table.status().message().find("offset 41"), absl::string_view::npos);
    }
}

TEST(OperatorRecords, OperatorRecords_Key_DeterminesRecordKind)
{
    EXPECT_EQ(kindOfOperatorKey("config"), OperatorRecordKind::Configuration);
    EXPECT_EQ(kindOfOperatorKey("evacuate/azuay-a"), OperatorRecordKind::ZoneEvacuation);
    EXPECT_EQ(evacuatedZoneFromKey("evacuate/azuay-a"), "azuay-a");
    EXPECT_EQ(kindOfOperatorKey("version/m"), OperatorRecordKind::WeightVersion);
    EXPECT_EQ(kindOfOperatorKey("else"), OperatorRecordKind::Other);
}

TEST(OperatorRecords, OperatorRecords_WeightVersion_NeedsModelAndUnsignedVersion)
{
    const auto named =
        readAnnouncedWeightVersion({ "version/m", R"({"model":"m","version":3})", 1 });
    ASSERT_TRUE(named.has_value());
    EXPECT_EQ(named->version, 3U);
    EXPECT_FALSE(readAnnouncedWeightVersion({ "version/m", R"({"model":"m","version":-3})", 1 })
                     .has_value());
}
