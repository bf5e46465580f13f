#include "version/configuration/plan.h"

#include <boost/json.hpp>

#include "base/text.h"

namespace nutmegplank::version::configuration {

namespace {

namespace json = boost::json;

auto isFieldTrue(const json::value &object, std::string_view field) -> bool
{
    const auto *found = object.is_object() ? object.as_object().if_contains(field) : nullptr;
    return found != nullptr && found->is_bool() && found->as_bool();
}

auto stringField(const json::value &object, std::string_view field) -> std::string
{
    const auto *found = object.is_object() ? object.as_object().if_contains(field) : nullptr;
    return found != nullptr && found->is_string() ? std::string(found->as_string()) : std::string();
}

auto keyEffect(const json::value &before, const json::value &after) -> std::string
{
    if (before.is_null())
        return {};
    const auto wasValid = !isFieldTrue(before, "withdrawn");
    const auto workspace = stringField(before, "workspace");
    const auto isValid = !after.is_null() && !isFieldTrue(after, "withdrawn");
    if (wasValid && !isValid)
        return base::concat("cuts running requests of workspace ", workspace, " that use this key");
    if (!wasValid && isValid)
        return base::concat("lets a withdrawn key of workspace ", workspace, " work again");
    if (stringField(before, "sha256") != stringField(after, "sha256"))
        return "callers that hold the old key are refused";
    return {};
}

auto zoneEffect(const json::value &before, const json::value &after) -> std::string
{
    const auto wasOut = isFieldTrue(before, "out");
    const auto isOut = isFieldTrue(after, "out");
    if (!wasOut && isOut)
        return "new work leaves the zone and its backend servers are replaced elsewhere";
    if (wasOut && !isOut)
        return "the zone gets new work again";
    return {};
}

auto effectOfChange(const Change &change, const json::value &before) -> std::string
{
    if (change.object == ObjectKind::Key)
        return keyEffect(before, change.value);
    if (change.object == ObjectKind::Zone)
        return zoneEffect(before, change.value);
    if (change.object == ObjectKind::Workspace && change.value.is_null())
        return "its requests are refused from then on";
    if (change.object == ObjectKind::Service && change.value.is_null())
        return "its backend servers are given back";
    if (change.object == ObjectKind::Route && change.value.is_null())
        return "requests under its path are refused";
    return {};
}

auto actionOf(const json::value &before, const json::value &after) -> PlannedAction
{
    if (before.is_null())
        return PlannedAction::Add;
    return after.is_null() ? PlannedAction::Remove : PlannedAction::Alter;
}

//! Collects the differences between two configurations, one kind of object at a time.
class ConfigurationDiff
{
public:
    ConfigurationDiff(const Configuration &current, const Configuration &declared)
        : m_current(current)
        , m_declared(declared)
    { }

    auto compare(ObjectKind kind, const std::string &name) -> void
    {
        const auto before = objectJson(m_current, kind, name);
        const auto after = objectJson(m_declared, kind, name);
        if (before == after)
            return;
        auto planned = PlannedChange();
        planned.action = actionOf(before, after);
        planned.change = Change { kind, name, after };
        planned.before = before;
        planned.effect = effectOfChange(planned.change, before);
        m_changes.push_back(std::move(planned));
    }

    template <typename Object>
    auto compareAll(ObjectKind kind, const std::map<std::string, Object> &current,
                    const std::map<std::string, Object> &declared) -> void
    {
        auto names = std::set<std::string>();
        for (const auto &[name, object] : current)
            names.insert(name);
        for (const auto &[name, object] : declared)
            names.insert(name);
        for (const auto &name : names)
            compare(kind, name);
    }

    auto take() -> std::vector<PlannedChange> { return std::move(m_changes); }

private:
    const Configuration &m_current;
    const Configuration &m_declared;
    std::vector<PlannedChange> m_changes;
};

} // namespace

auto planChanges(const Configuration &current, const Configuration &declared)
    -> std::vector<PlannedChange>
{
    auto diff = ConfigurationDiff(current, declared);
    diff.compareAll(ObjectKind::Workspace, current.workspaces, declared.workspaces);
    diff.compareAll(ObjectKind::Key, current.keys, declared.keys);
    diff.compareAll(ObjectKind::Service, current.services, declared.services);
    diff.compareAll(ObjectKind::Route, current.routes, declared.routes);
    diff.compareAll(ObjectKind::Zone, current.zones, declared.zones);
    diff.compareAll(ObjectKind::Preset, current.presets, declared.presets);
    diff.compare(ObjectKind::PresetInForce, "");
    return diff.take();
}

} // namespace nutmegplank::version::configuration
