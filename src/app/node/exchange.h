#pragma once

#include "connection/http/message.h"
#include "request/call/call.h"
#include "version/routing/routingtable.h"

namespace nutmegplank::app::node {

//! When a caller may come back for which the log was not available.
constexpr auto STORE_RETRY = std::chrono::milliseconds(1500);

//! One call with what was found out about it.
struct Exchange
{
    request::call::Call call;
    version::routing::RoutingTablePtr table;
    version::routing::Owner caller;
    base::TimePoint receivedAt {};
};

//! Notes the refusal of a call in the log and returns what its caller gets.
auto refuse(const request::call::ICallProtocol &protocol, const Exchange &exchange,
            const request::call::Refusal &refusal) -> connection::http::Response;

} // namespace nutmegplank::app::node
