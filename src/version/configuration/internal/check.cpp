#include "version/configuration/check.h"

#include <algorithm>

#include "base/text.h"

namespace nutmegplank::version::configuration {

namespace {

using base::concat;
using base::Finding;
using base::FindingKind;

//! Above this number of backend servers in a shard, choosing among them costs too much.
constexpr auto MAX_SERVERS_PER_SHARD = 16U;

//! Paths of requests are matched without their query; requests with other paths are refused.
auto canBePath(std::string_view prefix) -> bool
{
    constexpr auto FORBIDDEN =
        std::array<std::string_view, 7> { "?", "#", "\\", " ", "//", "/./", "/../" };
    return std::ranges::none_of(
        FORBIDDEN, [prefix](auto part) { return prefix.find(part) != std::string_view::npos; });
}

class ConfigurationCheck
{
public:
    explicit ConfigurationCheck(const Configuration &configuration)
        : m_configuration(configuration)
    { }

    auto run() -> std::vector<Finding>
    {
        checkWorkspaces();
        checkServices();
        checkRoutes();
        checkZones();
        checkPresets();
        return std::move(m_findings);
    }

private:
    auto add(FindingKind kind, std::string_view object, const std::string &name,
             std::string problem) -> void
    {
        m_findings.push_back({ kind, concat(object, " \"", name, "\""), std::move(problem) });
    }

    auto checkWorkspaces() -> void
    {
        for (const auto &declared : m_configuration.workspaces) {
            const auto &name = declared.first;
            const auto hasKey = std::ranges::any_of(m_configuration.keys, [&](const auto &entry) {
                return entry.second.workspace == name && !entry.second.withdrawn;
            });
            const auto hasRoute =
                std::ranges::any_of(m_configuration.routes, [&](const auto &entry) {
                    return entry.second.workspace == name;
                });
            if (!hasKey && !hasRoute)
                add(FindingKind::NeverMatches, "workspace", name,
                    "no valid key and no open route belongs to it");
        }
    }

    auto checkServices() -> void
    {
        for (const auto &declared : m_configuration.services) {
            const auto &name = declared.first;
            const auto &service = declared.second;
            const auto hasRoute =
                std::ranges::any_of(m_configuration.routes, [&](const auto &entry) {
                    return entry.second.service == name;
                });
            if (!hasRoute)
                add(FindingKind::NeverMatches, "service", name, "no route leads to it");
            if (service.coldLimit > service.warmLimit)
                add(FindingKind::Contradiction, "service", name,
                    concat("\"cold_limit\" ", service.coldLimit, " is above \"warm_limit\" ",
                           service.warmLimit));
        }
    }

    auto checkRoutes() -> void
    {
        for (const auto &[name, route] : m_configuration.routes) {
            if (!canBePath(route.pathPrefix))
                add(FindingKind::NeverMatches, "route", name,
                    concat("no path begins with \"", route.pathPrefix, "\""));
            const auto *preset = m_configuration.preset();
            if (preset != nullptr && mostServersOf(*preset, route.service) == 0)
                add(FindingKind::Contradiction, "route", name,
                    concat("the preset in force, \"", preset->name,
                           "\", asks for no backend servers of its service \"", route.service,
                           "\""));
        }
    }

    auto checkZones() -> void
    {
        const auto &zones = m_configuration.zones;
        const auto allOut = !zones.empty()
            && std::ranges::all_of(zones, [](const auto &entry) { return entry.second.out; });
        if (allOut)
            add(FindingKind::Contradiction, "zone", zones.begin()->first,
                "all zones are out, so that no backend server gets work");
    }

    auto checkPresets() -> void
    {
        for (const auto &[name, preset] : m_configuration.presets) {
            if (preset.rolloutShare == 0 && !preset.refuseRollouts)
                add(FindingKind::Contradiction, "preset", name,
                    "rollouts are accepted, and \"rollout_share\" 0 gives them nothing");
            for (const auto &target : preset.targets)
                checkTarget(name, target);
        }
    }

    auto checkTarget(const std::string &preset, const ServiceTarget &target) -> void
    {
        const auto found = m_configuration.services.find(target.service);
        if (found == m_configuration.services.end() || target.mostServers == 0)
            return;
        const auto shards = found->second.shards;
        if (target.servers < shards)
            add(FindingKind::Contradiction, "preset", preset,
                concat("asks for ", target.servers, " backend servers of \"", target.service,
                       "\", which has ", shards, " shards"));
        if (target.mostServers > shards * MAX_SERVERS_PER_SHARD)
            add(FindingKind::Contradiction, "preset", preset,
                concat("allows ", target.mostServers, " backend servers of \"", target.service,
                       "\", over ", MAX_SERVERS_PER_SHARD, " for each of its ", shards, " shards"));
    }

    static auto mostServersOf(const Preset &preset, const std::string &service) -> std::uint32_t
    {
        const auto target = std::ranges::find(preset.targets, service, &ServiceTarget::service);
        return target == preset.targets.end() ? 0 : target->mostServers;
    }

    const Configuration &m_configuration;
    std::vector<Finding> m_findings;
};

} // namespace

auto checkConfiguration(const Configuration &configuration) -> std::vector<Finding>
{
    return ConfigurationCheck(configuration).run();
}

} // namespace nutmegplank::version::configuration
