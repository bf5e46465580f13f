#include "version/configuration/change.h"

#include <boost/json.hpp>

#include "base/text.h"

namespace nutmegplank::version::configuration {

namespace {

namespace json = boost::json;

auto invalidArgument(const std::string &text) -> absl::Status
{
    return absl::InvalidArgumentError(text);
}

auto describe(const Change &change) -> std::string
{
    return base::concat(base::nameOf(OBJECT_KIND_NAMES, change.object), " \"", change.name, "\"");
}

template <typename Object>
auto nameOfObject(const Object &object) -> const std::string &
{
    return object.name;
}

auto nameOfObject(const Key &key) -> const std::string &
{
    return key.id;
}

template <typename Object, typename Parse>
auto putObject(std::map<std::string, Object> &objects, const Change &change, Parse parse)
    -> absl::Status
{
    if (change.value.is_null()) {
        objects.erase(change.name);
        return absl::OkStatus();
    }
    auto reader = base::ObjectReader(change.value, describe(change));
    auto object = parse(reader);
    const auto status = reader.finish();
    if (!status.ok())
        return status;
    if (nameOfObject(object) != change.name)
        return invalidArgument(base::concat(describe(change), ": holds another name"));
    objects[change.name] = std::move(object);
    return absl::OkStatus();
}

auto applyChange(Configuration &configuration, const Change &change) -> absl::Status
{
    switch (change.object) {
    case ObjectKind::Workspace:
        return putObject(configuration.workspaces, change, parseWorkspace);
    case ObjectKind::Key:
        return putObject(configuration.keys, change, parseKey);
    case ObjectKind::Service:
        return putObject(configuration.services, change, parseService);
    case ObjectKind::Route:
        return putObject(configuration.routes, change, parseRoute);
    case ObjectKind::Zone:
        return putObject(configuration.zones, change, parseZone);
    case ObjectKind::Preset:
        return putObject(configuration.presets, change, parsePreset);
    case ObjectKind::PresetInForce:
        break;
    }
    if (!change.value.is_string() && !change.value.is_null())
        return invalidArgument("preset_in_force: must be the name of a preset");
    configuration.presetInForce =
        change.value.is_null() ? std::string() : std::string(change.value.as_string());
    return absl::OkStatus();
}

template <typename Object>
auto findJson(const std::map<std::string, Object> &objects, const std::string &name) -> json::value
{
    const auto found = objects.find(name);
    return found == objects.end() ? json::value() : json::value(toJson(found->second));
}

auto unknownReference(std::string_view kind, const std::string &name, std::string_view field,
                      const std::string &referenced) -> absl::Status
{
    return invalidArgument(base::concat(kind, " \"", name, "\": field \"", field, "\" names \"",
                                        referenced, "\", which is not declared"));
}

auto checkKeys(const Configuration &configuration) -> absl::Status
{
    auto owners = std::map<std::string, std::string>();
    for (const auto &[id, key] : configuration.keys) {
        if (!configuration.workspaces.contains(key.workspace))
            return unknownReference("key", id, "workspace", key.workspace);
        const auto [owner, added] = owners.emplace(key.sha256, id);
        if (!added)
            return invalidArgument(base::concat(
                "key \"", id, "\": field \"sha256\" is that of key \"", owner->second, "\""));
    }
    return absl::OkStatus();
}

auto checkRoutes(const Configuration &configuration) -> absl::Status
{
    auto owners = std::map<std::string, std::string>();
    for (const auto &[name, route] : configuration.routes) {
        if (!configuration.services.contains(route.service))
            return unknownReference("route", name, "service", route.service);
        if (route.open && !configuration.workspaces.contains(route.workspace))
            return unknownReference("route", name, "workspace", route.workspace);
        const auto [owner, added] = owners.emplace(route.pathPrefix, name);
        if (!added)
            return invalidArgument(base::concat("route \"", name,
                                                "\": field \"path_prefix\" is that of route \"",
                                                owner->second, "\""));
    }
    return absl::OkStatus();
}

auto checkPresets(const Configuration &configuration) -> absl::Status
{
    for (const auto &[name, preset] : configuration.presets) {
        for (const auto &target : preset.targets) {
            if (!configuration.services.contains(target.service))
                return unknownReference("preset", name, "targets", target.service);
        }
    }
    if (!configuration.presetInForce.empty() && configuration.preset() == nullptr)
        return invalidArgument(base::concat(
            "preset_in_force: names \"", configuration.presetInForce, "\", which is not declared"));
    return absl::OkStatus();
}

} // namespace

auto toJson(const Change &change) -> json::object
{
    return { { "object", base::nameOf(OBJECT_KIND_NAMES, change.object) },
             { "name", change.name },
             { "value", change.value } };
}

auto toJson(std::span<const Change> changes) -> json::array
{
    auto array = json::array();
    for (const auto &change : changes)
        array.emplace_back(toJson(change));
    return array;
}

auto parseChanges(const json::value &value, std::string_view place)
    -> absl::StatusOr<std::vector<Change>>
{
    auto changes = std::vector<Change>();
    if (!value.is_array())
        return invalidArgument(base::concat(place, ": must be an array of changes"));
    for (const auto &element : value.as_array()) {
        auto reader = base::ObjectReader(element, base::concat(place, "[", changes.size(), "]"));
        auto change = Change();
        const auto kind = base::valueOf(OBJECT_KIND_NAMES, reader.string("object"));
        if (!kind)
            reader.fail("object",
                        base::concat("must be one of ", base::allowedNames(OBJECT_KIND_NAMES)));
        change.object = kind.value_or(ObjectKind::Workspace);
        change.name = reader.string("name", "");
        change.value = reader.raw("value");
        const auto status = reader.finish();
        if (!status.ok())
            return status;
        changes.push_back(std::move(change));
    }
    return changes;
}

auto objectJson(const Configuration &configuration, ObjectKind kind, const std::string &name)
    -> json::value
{
    switch (kind) {
    case ObjectKind::Workspace:
        return findJson(configuration.workspaces, name);
    case ObjectKind::Key:
        return findJson(configuration.keys, name);
    case ObjectKind::Service:
        return findJson(configuration.services, name);
    case ObjectKind::Route:
        return findJson(configuration.routes, name);
    case ObjectKind::Zone:
        return findJson(configuration.zones, name);
    case ObjectKind::Preset:
        return findJson(configuration.presets, name);
    case ObjectKind::PresetInForce:
        break;
    }
    return configuration.presetInForce.empty() ? json::value()
                                               : json::value(configuration.presetInForce);
}

auto applyChanges(const Configuration &base, std::span<const Change> changes, std::uint64_t version)
    -> absl::StatusOr<Configuration>
{
    auto next = base;
    for (const auto &change : changes) {
        const auto status = applyChange(next, change);
        if (!status.ok())
            return status;
    }
    const auto references = checkReferences(next);
    if (!references.ok())
        return references;
    rebuildIndexes(next);
    next.version = version;
    return next;
}

auto checkReferences(const Configuration &configuration) -> absl::Status
{
    const auto keys = checkKeys(configuration);
    if (!keys.ok())
        return keys;
    const auto routes = checkRoutes(configuration);
    if (!routes.ok())
        return routes;
    return checkPresets(configuration);
}

auto rebuildIndexes(Configuration &configuration) -> void
{
    configuration.keysByHash.clear();
    for (const auto &[id, key] : configuration.keys)
        configuration.keysByHash.emplace(key.sha256, key);
}

} // namespace nutmegplank::version::configuration
