#pragma once

#include <boost/json/object.hpp>

#include "base/jsonreader.h"
#include "version/state/iplatformlog.h"

//! JSON representation of the state, for snapshots and for operators.
namespace nutmegplank::version::state {

auto stateToJson(const LogState &state) -> boost::json::object;

//! Errors are recorded in \a reader.
auto stateFromJson(base::ObjectReader &reader) -> LogState;

auto auditToJson(const AuditEntry &entry) -> boost::json::object;

} // namespace nutmegplank::version::state
