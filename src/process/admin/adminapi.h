#pragma once

#include <functional>
#include <string>
#include <vector>

#include "connection/http/httpserver.h"
#include "process/inventory/iinventory.h"
#include "process/membership/imembership.h"
#include "version/state/iplatformlog.h"

//! The operators' interface over HTTP, served by controllers and used by nutmegplankctl.
namespace nutmegplank::process::admin {

//! An operator's key; kept apart from callers' keys and only as a hash.
struct OperatorKey
{
    std::string name;
    std::string sha256;
};

//! What the interface needs; all must outlive the handler.
struct AdminDependencies
{
    version::state::IPlatformLog &log;
    membership::IMembership &membership;
    inventory::IInventory &inventory;
    std::vector<OperatorKey> operators;
    //! Lines of the controller's own for the status page, for instance leases held.
    std::function<boost::json::object()> status;
    //! A process that was not heard for so long has stopped keyed work by itself.
    base::Duration confirmBound = std::chrono::seconds(4);
};

//! A handler for all targets under /admin/v1.
auto makeAdminHandler(AdminDependencies dependencies) -> connection::http::HttpHandler;

} // namespace nutmegplank::process::admin
