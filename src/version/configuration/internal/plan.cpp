#include "version/configuration/plan.h"

#include <boost/json.hpp>

#include "base/text.h"

namespace nutmegplank::version::configuration {

namespace {

namespace json = boost::json;

auto isTrue(const json::value &object, std::string_view field) -> bool
{
    const auto *found = object.is_object() ? object.as_object().if_contains(field) : nullptr;
    return found != nullptr && found->is_bool() && found->as_bool();
}

auto textOf(const json::value &object, std::string_view field) -> std::string
{
    const auto *found = object.is_object() ? object.as_object().if_contains(field) : nullptr;
    return found != nullptr && found->is_string() ? std::string(found->as_string()) : std::string();
}

auto keyEffect(const json::value &before, const json::value &after) -> std::string
{
    if (before.is_null())
        return {};
    const auto works = !isTrue(before, "withdrawn");
    const auto workspace = textOf(before, "workspace");
    const auto worksAfter = !after.is_null() && !isTrue(after, "withdrawn");
    if (works && !worksAfter)
        return base::concat("cuts running requests of workspace ", workspace, " that use this key");
    if (!works && worksAfter)
        return base::concat("lets a withdrawn key of workspace ", workspace, " work again");
    if (textOf(before, "sha256") != textOf(after, "sha256"))
        return "callers that hold the old key are refused";
    return {};
}

auto zoneEffect(const json::value &before, const json::value &after) -> std::string
{
    const auto wasOut = isTrue(before, "out");
    const auto isOut = isTrue(after, "out");
    if (!wasOut && isOut)
        return "new work leaves the zone and its backend servers are replaced elsewhere";
    if (wasOut && !isOut)
        return "the zone gets new work again";
    return {};
}

auto effectOf(const Change &change, const json::value &before) -> std::string
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

//! Collects differences kind by kind.
class Planner
{
public:
    Planner(const Configuration &inForce, const Configuration &declared)
        : m_inForce(inForce)
        , m_declared(declared)
    { }

    auto compare(ObjectKind kind, const std::string &name) -> void
    {
        const auto before = objectJson(m_inForce, kind, name);
        const auto after = objectJson(m_declared, kind, name);
        if (before == after)
            return;
        auto planned = PlannedChange();
        planned.action = actionOf(before, after);
        planned.change = Change { kind, name, after };
        planned.before = before;
        planned.effect = effectOf(planned.change, before);
        m_changes.push_back(std::move(planned));
    }

    template <typename Object>
    auto compareAll(ObjectKind kind, const std::map<std::string, Object> &inForce,
                    const std::map<std::string, Object> &declared) -> void
    {
        auto names = std::set<std::string>();
        for (const auto &[name, object] : inForce)
            names.insert(name);
        for (const auto &[name, object] : declared)
            names.insert(name);
        for (const auto &name : names)
            compare(kind, name);
    }

    auto take() -> std::vector<PlannedChange> { return std::move(m_changes); }

private:
    const Configuration &m_inForce;
    const Configuration &m_declared;
    std::vector<PlannedChange> m_changes;
};

} // namespace

auto planChanges(const Configuration &inForce, const Configuration &declared)
    -> std::vector<PlannedChange>
{
    auto planner = Planner(inForce, declared);
    planner.compareAll(ObjectKind::Workspace, inForce.workspaces, declared.workspaces);
    planner.compareAll(ObjectKind::Key, inForce.keys, declared.keys);
    planner.compareAll(ObjectKind::Service, inForce.services, declared.services);
    planner.compareAll(ObjectKind::Route, inForce.routes, declared.routes);
    planner.compareAll(ObjectKind::Zone, inForce.zones, declared.zones);
    planner.compareAll(ObjectKind::Preset, inForce.presets, declared.presets);
    planner.compare(ObjectKind::PresetInForce, "");
    return planner.take();
}

} // namespace nutmegplank::version::configuration
