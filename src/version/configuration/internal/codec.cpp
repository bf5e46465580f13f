#include "version/configuration/codec.h"

#include <boost/json.hpp>

#include "base/text.h"

namespace nutmegplank::version::configuration {

namespace {

namespace json = boost::json;

constexpr auto MAX_WORKSPACE_WEIGHT = 1'000'000;
constexpr auto MAX_SHARDS = 1024;
constexpr auto MAX_CONCURRENT_REQUESTS = 10'000;
constexpr auto MAX_SERVERS = 100'000;
constexpr auto MAX_PERCENT = 100;
constexpr auto SHA256_HEX_DIGITS = std::size_t(64);
constexpr auto WARM_UP_RANGE = base::DurationRange { base::Duration(0), std::chrono::hours(1) };
constexpr auto REQUEST_TIME_RANGE =
    base::DurationRange { std::chrono::milliseconds(1), std::chrono::hours(24) };

auto durationText(base::Duration duration) -> std::string
{
    return base::concat(base::toMilliseconds(duration), "ms");
}

auto readCount(base::ObjectReader &reader, std::string_view field, base::IntegerRange range,
               std::uint32_t fallback) -> std::uint32_t
{
    return static_cast<std::uint32_t>(reader.integer(field, range, fallback));
}

auto isSha256(std::string_view text) -> bool
{
    return text.size() == SHA256_HEX_DIGITS
        && text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

auto toJson(const std::vector<std::string> &texts) -> json::array
{
    auto array = json::array();
    for (const auto &text : texts)
        array.emplace_back(text);
    return array;
}

auto parseTarget(base::ObjectReader &reader) -> ServiceTarget
{
    auto target = ServiceTarget();
    target.service = reader.string("service");
    target.servers = readCount(reader, "servers", { 0, MAX_SERVERS }, 0);
    target.mostServers = readCount(reader, "most_servers", { 0, MAX_SERVERS }, target.servers);
    target.cheapShare = reader.number("cheap_share", 0, 1, 0);
    target.model = reader.string("model", "");
    target.adapters = reader.strings("adapters");
    if (target.mostServers < target.servers)
        reader.fail("most_servers", "must be at least \"servers\"");
    return target;
}

auto toJson(const ServiceTarget &target) -> json::object
{
    return { { "service", target.service },
             { "servers", target.servers },
             { "most_servers", target.mostServers },
             { "cheap_share", target.cheapShare },
             { "model", target.model },
             { "adapters", toJson(target.adapters) } };
}

template <typename Map>
auto valuesToJson(const Map &map) -> json::array
{
    auto array = json::array();
    for (const auto &[name, object] : map)
        array.emplace_back(toJson(object));
    return array;
}

} // namespace

auto parseWorkspace(base::ObjectReader &reader) -> Workspace
{
    auto workspace = Workspace();
    workspace.name = reader.string("name");
    workspace.weight = readCount(reader, "weight", { 1, MAX_WORKSPACE_WEIGHT }, workspace.weight);
    return workspace;
}

auto parseKey(base::ObjectReader &reader) -> Key
{
    auto key = Key();
    key.id = reader.string("id");
    key.workspace = reader.string("workspace");
    key.sha256 = reader.string("sha256");
    key.withdrawn = reader.boolean("withdrawn", false);
    if (!isSha256(key.sha256))
        reader.fail("sha256", "must be 64 lower-case hexadecimal digits");
    return key;
}

auto parseService(base::ObjectReader &reader) -> Service
{
    auto service = Service();
    service.name = reader.string("name");
    const auto kind = base::valueOf(
        SERVICE_KIND_NAMES, reader.string("kind", base::nameOf(SERVICE_KIND_NAMES, service.kind)));
    if (!kind)
        reader.fail("kind",
                    base::concat("must be one of ", base::allowedNames(SERVICE_KIND_NAMES)));
    service.kind = kind.value_or(service.kind);
    service.shards = readCount(reader, "shards", { 1, MAX_SHARDS }, service.shards);
    service.coldLimit =
        readCount(reader, "cold_limit", { 1, MAX_CONCURRENT_REQUESTS }, service.coldLimit);
    service.warmLimit =
        readCount(reader, "warm_limit", { 1, MAX_CONCURRENT_REQUESTS }, service.warmLimit);
    service.warmUp = reader.duration("warm_up", WARM_UP_RANGE, service.warmUp);
    service.requestTimeout =
        reader.duration("request_time", REQUEST_TIME_RANGE, service.requestTimeout);
    return service;
}

auto parseRoute(base::ObjectReader &reader) -> Route
{
    auto route = Route();
    route.name = reader.string("name");
    route.pathPrefix = reader.string("path_prefix");
    route.service = reader.string("service");
    route.open = reader.boolean("open", false);
    route.workspace = reader.string("workspace", "");
    route.idempotent = reader.boolean("idempotent", false);
    if (!route.pathPrefix.starts_with('/'))
        reader.fail("path_prefix", "must begin with \"/\"");
    if (route.open == route.workspace.empty())
        reader.fail("workspace", "must be there for open routes, and only for them");
    return route;
}

auto parseZone(base::ObjectReader &reader) -> Zone
{
    auto zone = Zone();
    zone.name = reader.string("name");
    zone.region = reader.string("region", "");
    zone.out = reader.boolean("out", false);
    return zone;
}

auto parsePreset(base::ObjectReader &reader) -> Preset
{
    auto preset = Preset();
    preset.name = reader.string("name");
    for (auto &nested : reader.objects("targets")) {
        preset.targets.push_back(parseTarget(nested));
        reader.absorb(nested);
    }
    preset.rolloutShare =
        readCount(reader, "rollout_share", { 0, MAX_PERCENT }, preset.rolloutShare);
    preset.refuseRollouts = reader.boolean("refuse_rollouts", false);
    return preset;
}

auto toJson(const Workspace &workspace) -> json::object
{
    return { { "name", workspace.name }, { "weight", workspace.weight } };
}

auto toJson(const Key &key) -> json::object
{
    return { { "id", key.id },
             { "workspace", key.workspace },
             { "sha256", key.sha256 },
             { "withdrawn", key.withdrawn } };
}

auto toJson(const Service &service) -> json::object
{
    return { { "name", service.name },
             { "kind", base::nameOf(SERVICE_KIND_NAMES, service.kind) },
             { "shards", service.shards },
             { "cold_limit", service.coldLimit },
             { "warm_limit", service.warmLimit },
             { "warm_up", durationText(service.warmUp) },
             { "request_time", durationText(service.requestTimeout) } };
}

auto toJson(const Route &route) -> json::object
{
    return { { "name", route.name },           { "path_prefix", route.pathPrefix },
             { "service", route.service },     { "open", route.open },
             { "workspace", route.workspace }, { "idempotent", route.idempotent } };
}

auto toJson(const Zone &zone) -> json::object
{
    return { { "name", zone.name }, { "region", zone.region }, { "out", zone.out } };
}

auto toJson(const Preset &preset) -> json::object
{
    auto targets = json::array();
    for (const auto &target : preset.targets)
        targets.emplace_back(toJson(target));
    return { { "name", preset.name },
             { "targets", std::move(targets) },
             { "rollout_share", preset.rolloutShare },
             { "refuse_rollouts", preset.refuseRollouts } };
}

auto toJson(const Configuration &configuration) -> json::object
{
    return { { "workspaces", valuesToJson(configuration.workspaces) },
             { "keys", valuesToJson(configuration.keys) },
             { "services", valuesToJson(configuration.services) },
             { "routes", valuesToJson(configuration.routes) },
             { "zones", valuesToJson(configuration.zones) },
             { "presets", valuesToJson(configuration.presets) },
             { "preset_in_force", configuration.presetInForce } };
}

} // namespace nutmegplank::version::configuration
