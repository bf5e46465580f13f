#include "version/routing/routingtable.h"

#include <algorithm>

#include "base/hash.h"

namespace nutmegplank::version::routing {

auto RoutingTable::findRoute(std::string_view host, std::string_view path) const -> const Route *
{
    const Route *best = nullptr;
    for (const auto &route : routes) {
        if (route.host != host || !path.starts_with(route.pathPrefix))
            continue;
        if (best == nullptr || route.pathPrefix.size() > best->pathPrefix.size())
            best = &route;
    }
    return best;
}

auto RoutingTable::findService(const std::string &name) const -> const Service *
{
    const auto found = services.find(name);
    return found == services.end() ? nullptr : &found->second;
}

auto RoutingTable::findWorkspaceByKey(std::string_view key) const -> const Workspace *
{
    const auto found = workspaces.find(base::sha256Hex(key));
    return found == workspaces.end() ? nullptr : &found->second;
}

auto RoutingTable::ownerOf(const Credential &credential) const -> std::optional<Owner>
{
    if (!hasWorkspaces)
        return Owner { OwnerKind::Shared };
    if (credential.kind == CredentialKind::None)
        return Owner { OwnerKind::Anonymous };
    if (credential.kind == CredentialKind::Unusable)
        return std::nullopt;
    const auto *workspace = findWorkspaceByKey(credential.key);
    if (workspace == nullptr)
        return std::nullopt;
    return workspaceOwner(workspace->name);
}

auto pickService(const Route &route, double draw) -> const std::string &
{
    auto total = 0.0;
    for (const auto &share : route.services)
        total += share.weight;
    auto remaining = draw * total;
    for (const auto &share : route.services) {
        remaining -= share.weight;
        if (remaining < 0)
            return share.service;
    }
    return route.services.back().service;
}

} // namespace nutmegplank::version::routing
