#pragma once

#include <string>

#include "base/enumtable.h"

namespace nutmegplank::version::routing {

enum class OwnerKind {
    Workspace, //!< The workspace whose key came with the call.
    Anonymous, //!< None: the call came without a key.
    //! All callers together: the configuration has no workspaces, so that keys tell nothing.
    Shared,
};

constexpr auto OWNER_KIND_NAMES = base::EnumTable<OwnerKind, 3> { {
    { OwnerKind::Workspace, "workspace" },
    { OwnerKind::Anonymous, "anonymous" },
    { OwnerKind::Shared, "shared" },
} };

//! Whom a call or a batch belongs to.
struct Owner
{
    OwnerKind kind = OwnerKind::Anonymous;
    std::string workspace; //!< Set for OwnerKind::Workspace only.

    auto operator==(const Owner &) const -> bool = default;
};

inline auto workspaceOwner(std::string workspace) -> Owner
{
    return { OwnerKind::Workspace, std::move(workspace) };
}

} // namespace nutmegplank::version::routing
