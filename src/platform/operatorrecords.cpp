#include "platform/operatorrecords.h"

#include <algorithm>
#include <cmath>

#include "base/hash.h"
#include "base/status.h"
#include "base/text.h"
#include "platform/jsonfields.h"

namespace nutmegplank::platform {

namespace {

namespace json = boost::json;
using version::routing::Route;
using version::routing::RouteKind;
using version::routing::RoutingTable;
using version::routing::Service;

constexpr auto CONFIGURATION_KEY = std::string_view("config");
constexpr auto EVACUATED_ZONE_PREFIX = std::string_view("evacuate/");
constexpr auto WEIGHT_VERSION_PREFIX = std::string_view("version/");

//! The platform's names of the route kinds, which say whether requests may be repeated. "keyed" is
//! not among the kinds in force; such a route is handled like one whose requests may run only once.
constexpr auto WIRE_ROUTE_KINDS = base::EnumTable<RouteKind, 5> { {
    { RouteKind::Idempotent, "safe" },
    { RouteKind::Unsafe, "unsafe" },
    { RouteKind::Unsafe, "keyed" },
    { RouteKind::Stream, "streaming" },
    { RouteKind::Rollout, "rollout" },
} };

//! Longer times are malformed and would overflow.
constexpr auto MAX_SECONDS = 1e9;

auto durationFromSeconds(double value) -> base::Duration
{
    return base::Duration(std::llround(std::clamp(value, 0.0, MAX_SECONDS) * 1e6));
}

auto millisecondsField(const json::object &object, std::string_view name, base::Duration fallback)
    -> base::Duration
{
    const auto value = numberField(object, name);
    return value.has_value() ? durationFromSeconds(*value / 1e3) : fallback;
}

auto readRoute(const json::object &object) -> std::optional<Route>
{
    auto route = Route();
    const auto host = stringField(object, "host");
    const auto prefix = stringField(object, "path_prefix");
    if (!host.has_value() || !prefix.has_value())
        return std::nullopt;
    route.host = *host;
    route.pathPrefix = *prefix;
    route.name = stringField(object, "name").value_or(*prefix);
    route.kind = base::valueOf(WIRE_ROUTE_KINDS, stringField(object, "kind").value_or(""))
                     .value_or(RouteKind::Unsafe);
    route.timeout = millisecondsField(object, "timeout_ms", route.timeout);
    route.targetLatency = millisecondsField(object, "target_latency_ms", route.targetLatency);
    route.maxAttempts =
        static_cast<std::uint32_t>(unsignedField(object, "max_attempts").value_or(1));
    route.priority = static_cast<std::uint32_t>(unsignedField(object, "priority").value_or(5));
    // "public" routes need no API key.
    route.open = boolField(object, "public").value_or(false);
    route.resumable = boolField(object, "resumable").value_or(false);
    route.singleVersion = boolField(object, "single_version").value_or(false);
    if (const auto value = numberField(object, "retention_s"))
        route.retention = durationFromSeconds(*value);
    route.resultDeadline = millisecondsField(object, "result_deadline_ms", route.resultDeadline);
    if (const auto *shares = arrayField(object, "traffic_split")) {
        for (const auto &value : *shares) {
            const auto *share = value.if_object();
            const auto service = share == nullptr ? std::nullopt : stringField(*share, "service");
            if (service.has_value())
                route.services.push_back({ *service, numberField(*share, "weight").value_or(0) });
        }
    }
    if (route.services.empty()) {
        if (const auto service = stringField(object, "service"))
            route.services.push_back({ *service, 1.0 });
    }
    if (route.services.empty())
        return std::nullopt;
    return route;
}

auto readEngine(const json::object &object) -> version::routing::EngineTraits
{
    auto engine = version::routing::EngineTraits();
    engine.slots = static_cast<std::uint32_t>(unsignedField(object, "slots").value_or(1));
    engine.cacheTokens = unsignedField(object, "kv_cache_tokens").value_or(0);
    // "stride" is the number of tokens in one stream event.
    engine.tokensPerEvent = static_cast<std::uint32_t>(unsignedField(object, "stride").value_or(1));
    return engine;
}

auto readScaling(const json::object &object) -> version::routing::ScalingLimits
{
    auto scaling = version::routing::ScalingLimits();
    scaling.most = static_cast<std::uint32_t>(unsignedField(object, "max").value_or(0));
    scaling.startup = durationFromSeconds(numberField(object, "startup_s").value_or(4));
    if (const auto *prices = objectField(object, "zone_prices")) {
        for (const auto &entry : *prices) {
            if (entry.value().is_number())
                scaling.zonePrices[std::string(entry.key())] = entry.value().to_number<double>();
        }
    }
    return scaling;
}

auto readService(const json::object &object) -> std::optional<Service>
{
    const auto name = stringField(object, "name");
    if (!name.has_value())
        return std::nullopt;
    auto service = Service();
    service.name = *name;
    service.maxConnections =
        static_cast<std::uint32_t>(unsignedField(object, "max_connections").value_or(64));
    service.coldStart = durationFromSeconds(numberField(object, "cold_start_s").value_or(0));
    service.coldRequestsPerSecond = numberField(object, "cold_per_s").value_or(0);
    if (const auto *engine = objectField(object, "engine"))
        service.engine = readEngine(*engine);
    if (const auto *scaling = objectField(object, "scaling"))
        service.scaling = readScaling(*scaling);
    return service;
}

auto readWorkspaces(const json::object &configuration, RoutingTable &table) -> void
{
    // "tenants" are workspaces.
    const auto *tenants = arrayField(configuration, "tenants");
    table.hasWorkspaces = tenants != nullptr;
    for (const auto &value : tenants == nullptr ? json::array() : *tenants) {
        const auto *tenant = value.if_object();
        const auto name = tenant == nullptr ? std::nullopt : stringField(*tenant, "name");
        // Without a name, its batches and requests could not be told from those of nobody.
        const auto isNamed = name.has_value() && !name->empty();
        const auto *keys = isNamed ? arrayField(*tenant, "api_keys") : nullptr;
        if (keys == nullptr)
            continue;
        auto workspace = version::routing::Workspace { *name, std::nullopt };
        if (const auto priority = unsignedField(*tenant, "priority"))
            workspace.priority = static_cast<std::uint32_t>(*priority);
        for (const auto &key : *keys) {
            if (key.is_string())
                table.workspaces[base::sha256Hex(std::string_view(key.get_string()))] = workspace;
        }
    }
}

auto readLimits(const json::object &configuration, RoutingTable &table) -> void
{
    const auto *object = objectField(configuration, "limits");
    if (object == nullptr)
        return;
    auto &limits = table.limits;
    limits.headerBytes = static_cast<std::uint32_t>(
        unsignedField(*object, "max_header_bytes").value_or(limits.headerBytes));
    limits.bodyBytes = unsignedField(*object, "max_body_bytes").value_or(limits.bodyBytes);
    limits.headerTime = millisecondsField(*object, "header_timeout_ms", limits.headerTime);
    limits.idleTime = millisecondsField(*object, "idle_timeout_ms", limits.idleTime);
}

} // namespace

auto kindOfOperatorKey(const std::string &key) -> OperatorRecordKind
{
    if (key == CONFIGURATION_KEY)
        return OperatorRecordKind::Configuration;
    if (key.starts_with(EVACUATED_ZONE_PREFIX))
        return OperatorRecordKind::ZoneEvacuation;
    if (key.starts_with(WEIGHT_VERSION_PREFIX))
        return OperatorRecordKind::WeightVersion;
    return OperatorRecordKind::Other;
}

auto evacuatedZoneFromKey(const std::string &key) -> std::string
{
    return key.substr(EVACUATED_ZONE_PREFIX.size());
}

auto readConfiguration(const version::journal::KeyedRecord &record)
    -> absl::StatusOr<version::routing::RoutingTablePtr>
{
    const auto recordError = [&record](std::string_view what) {
        return base::makeError(absl::StatusCode::kInvalidArgument,
                               base::concat(what, " at offset ", record.offset),
                               { "configuration.read", record.key });
    };
    const auto configuration = parseObject(record.value);
    if (!configuration.has_value())
        return recordError("not a JSON object");
    const auto version = unsignedField(*configuration, "version");
    const auto *routes = arrayField(*configuration, "routes");
    const auto *services = arrayField(*configuration, "services");
    if (!version.has_value() || routes == nullptr || services == nullptr)
        return recordError("missing version, routes or services");
    auto table = std::make_shared<RoutingTable>();
    table->version = *version;
    table->offset = record.offset;
    for (const auto &value : *routes) {
        const auto *object = value.if_object();
        auto route = object == nullptr ? std::nullopt : readRoute(*object);
        if (!route.has_value())
            return recordError("a route lacks host, path_prefix or service");
        table->routes.push_back(std::move(*route));
    }
    for (const auto &value : *services) {
        const auto *object = value.if_object();
        auto service = object == nullptr ? std::nullopt : readService(*object);
        if (!service.has_value())
            return recordError("a service lacks a name");
        table->services[service->name] = std::move(*service);
    }
    readWorkspaces(*configuration, *table);
    readLimits(*configuration, *table);
    return version::routing::RoutingTablePtr(std::move(table));
}

auto readAnnouncedWeightVersion(const version::journal::KeyedRecord &record)
    -> std::optional<AnnouncedWeightVersion>
{
    const auto object = parseObject(record.value);
    if (!object.has_value())
        return std::nullopt;
    const auto model = stringField(*object, "model");
    const auto version = unsignedField(*object, "version");
    if (!model.has_value() || !version.has_value())
        return std::nullopt;
    return AnnouncedWeightVersion { *model, *version };
}

} // namespace nutmegplank::platform
