#pragma once

#include <boost/json/object.hpp>

#include "process/inventory/iinventory.h"
#include "process/membership/imembership.h"
#include "version/state/iplatformlog.h"

//! What operators read, as JSON.
namespace nutmegplank::process::admin {

auto stateView(const version::state::LogState &state) -> boost::json::object;
//! \a ownId is the member that answers; it hears itself at any time.
auto membersView(const membership::MemberView &view, const std::string &ownId, base::TimePoint now)
    -> boost::json::object;
auto serversView(const inventory::ServerView &view) -> boost::json::object;
//! Entries at or after offset \a from.
auto auditView(const version::state::LogState &state, std::uint64_t from) -> boost::json::object;

} // namespace nutmegplank::process::admin
