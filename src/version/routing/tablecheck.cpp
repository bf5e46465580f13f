#include "version/routing/tablecheck.h"

#include <algorithm>
#include <set>

#include "base/text.h"

namespace nutmegplank::version::routing {

namespace {

using base::concat;
using base::Finding;
using base::FindingKind;

auto routePlace(const Route &route) -> std::string
{
    return concat("route \"", route.name, "\"");
}

auto milliseconds(base::Duration duration) -> std::string
{
    return concat(base::toMilliseconds(duration), " ms");
}

class TableCheck
{
public:
    explicit TableCheck(const RoutingTable &table)
        : m_table(table)
    { }

    auto run() -> std::vector<Finding>
    {
        for (const auto &route : m_table.routes) {
            checkMatch(route);
            checkServices(route);
            checkTimes(route);
        }
        for (const auto &[name, service] : m_table.services)
            checkService(service);
        if (m_table.hasWorkspaces && m_table.workspaces.empty()
            && std::ranges::none_of(m_table.routes, &Route::open))
            add(FindingKind::NeverMatches, "workspaces",
                "there is no key, and no route is open: every request is refused");
        return std::move(m_findings);
    }

private:
    auto add(FindingKind kind, std::string place, std::string problem) -> void
    {
        m_findings.push_back({ kind, std::move(place), std::move(problem) });
    }

    auto checkMatch(const Route &route) -> void
    {
        const auto &routes = m_table.routes;
        const auto first = std::ranges::find_if(routes, [&](const Route &other) {
            return other.host == route.host && other.pathPrefix == route.pathPrefix;
        });
        if (&*first != &route)
            add(FindingKind::NeverMatches, routePlace(route),
                concat("route \"", first->name, "\" has the same host and path prefix"));
        if (!route.pathPrefix.starts_with('/')
            || route.pathPrefix.find_first_of("?# ") != std::string::npos)
            add(FindingKind::NeverMatches, routePlace(route),
                concat("no path begins with \"", route.pathPrefix, "\""));
    }

    auto checkServices(const Route &route) -> void
    {
        auto weights = 0.0;
        for (const auto &share : route.services) {
            weights += share.weight;
            const auto *service = m_table.findService(share.service);
            if (service == nullptr)
                add(FindingKind::Error, routePlace(route),
                    concat("service \"", share.service, "\" is not declared"));
            else if (route.kind == RouteKind::Rollout && !service->engine.has_value())
                add(FindingKind::Contradiction, routePlace(route),
                    concat("its items need engines, and service \"", share.service, "\" has none"));
        }
        if (weights <= 0)
            add(FindingKind::NeverMatches, routePlace(route),
                "the weights of its services are all 0");
    }

    auto checkTimes(const Route &route) -> void
    {
        if (route.maxAttempts == 0)
            add(FindingKind::Contradiction, routePlace(route),
                "it allows 0 attempts, so that no request can run");
        if (route.targetLatency > route.timeout)
            add(FindingKind::Contradiction, routePlace(route),
                concat("its target latency, ", milliseconds(route.targetLatency),
                       ", is longer than its timeout, ", milliseconds(route.timeout)));
        if (route.kind == RouteKind::Rollout && route.resultDeadline > route.retention)
            add(FindingKind::Contradiction, routePlace(route),
                concat("its results are due after ", milliseconds(route.resultDeadline),
                       ", and items may be given up after ", milliseconds(route.retention)));
    }

    auto checkService(const Service &service) -> void
    {
        const auto place = concat("service \"", service.name, "\"");
        const auto used = std::ranges::any_of(m_table.routes, [&](const Route &route) {
            return std::ranges::any_of(route.services, [&](const ServiceShare &share) {
                return share.service == service.name && share.weight > 0;
            });
        });
        if (!used)
            add(FindingKind::NeverMatches, place, "no route leads to it");
        if (service.engine.has_value() && service.engine->slots > service.maxConnections)
            add(FindingKind::Contradiction, place,
                concat("its engines have ", service.engine->slots, " slots and take ",
                       service.maxConnections, " connections"));
        if (service.coldRequestsPerSecond > 0 && service.coldStart.count() == 0)
            add(FindingKind::NeverMatches, place,
                "it has a rate for cold servers, and its servers are never cold");
        if (service.scaling.has_value() && service.scaling->most == 0)
            add(FindingKind::Contradiction, place,
                "it is scaled, and its zones may have 0 servers");
    }

    const RoutingTable &m_table;
    std::vector<Finding> m_findings;
};

auto describe(const Route &route) -> std::string
{
    auto services = std::string();
    for (const auto &share : route.services)
        services += concat(" ", share.service, ":", share.weight);
    return concat(
        route.host, route.pathPrefix, " ", base::nameOf(ROUTE_KIND_NAMES, route.kind), services,
        ", timeout ", milliseconds(route.timeout), ", target ", milliseconds(route.targetLatency),
        ", attempts ", route.maxAttempts, ", priority ", route.priority, route.open ? ", open" : "",
        route.resumable ? ", resumable" : "", route.singleVersion ? ", one version" : "", ", due ",
        milliseconds(route.resultDeadline), ", kept ", milliseconds(route.retention));
}

auto describe(const Service &service) -> std::string
{
    auto text =
        concat("connections ", service.maxConnections, ", cold ", milliseconds(service.coldStart),
               " at ", service.coldRequestsPerSecond, " a second");
    if (service.engine.has_value())
        text +=
            concat(", engine with ", service.engine->slots, " slots, ", service.engine->cacheTokens,
                   " tokens, ", service.engine->tokensPerEvent, " an event");
    if (service.scaling.has_value()) {
        text += concat(", up to ", service.scaling->most, " a zone");
        for (const auto &[zone, price] : service.scaling->zonePrices)
            text += concat(", ", zone, " at ", price);
    }
    return text;
}

auto describe(const CallerLimits &limits) -> std::string
{
    return concat("header ", limits.headerBytes, " B in ", milliseconds(limits.headerTime),
                  ", body ", limits.bodyBytes, " B, idle ", milliseconds(limits.idleTime));
}

//! Descriptions by name of all entries.
auto describeAll(const RoutingTable &table) -> std::map<std::string, std::string>
{
    auto entries = std::map<std::string, std::string>();
    for (const auto &route : table.routes)
        entries[routePlace(route)] = describe(route);
    for (const auto &[name, service] : table.services)
        entries[concat("service \"", name, "\"")] = describe(service);
    // Keys are compared by their hash and never shown.
    auto keys = std::map<std::string, std::set<std::string>>();
    for (const auto &[hash, workspace] : table.workspaces)
        keys[workspace.name].insert(concat(hash, "#", workspace.priority.value_or(0)));
    for (const auto &[name, hashes] : keys) {
        auto all = std::string();
        for (const auto &hash : hashes)
            all += hash;
        entries[concat("workspace \"", name, "\"")] =
            concat(hashes.size(), " keys, digest ", std::hash<std::string>()(all) % 1'000'000);
    }
    entries["limits"] = describe(table.limits);
    return entries;
}

} // namespace

auto checkTable(const RoutingTable &table) -> std::vector<Finding>
{
    return TableCheck(table).run();
}

auto tableDifferences(const RoutingTable &inForce, const RoutingTable &next)
    -> std::vector<std::string>
{
    const auto before = describeAll(inForce);
    const auto after = describeAll(next);
    auto lines = std::vector<std::string>();
    if (next.version <= inForce.version)
        lines.push_back(concat("version ", next.version, " is not above version ", inForce.version,
                               " in force: it would be ignored"));
    for (const auto &[name, text] : before) {
        if (!after.contains(name))
            lines.push_back(concat("remove ", name, ": ", text));
    }
    for (const auto &[name, text] : after) {
        const auto found = before.find(name);
        if (found == before.end())
            lines.push_back(concat("add ", name, ": ", text));
        else if (found->second != text)
            lines.push_back(concat("alter ", name, ": ", found->second, " -> ", text));
    }
    return lines;
}

} // namespace nutmegplank::version::routing
