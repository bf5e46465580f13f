#pragma once

#include <boost/json/object.hpp>

#include "base/jsonreader.h"
#include "version/state/iplatformlog.h"

//! The state as JSON, for snapshots and for operators.
namespace nutmegplank::version::state {

auto stateToJson(const LogState &state) -> boost::json::object;

//! Problems stay in \a reader.
auto stateFromJson(base::ObjectReader &reader) -> LogState;

auto auditToJson(const AuditEntry &entry) -> boost::json::object;

} // namespace nutmegplank::version::state
