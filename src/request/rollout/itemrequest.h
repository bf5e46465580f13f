#pragma once

#include "request/rollout/openbatch.h"
#include "request/serverprotocol/iserverprotocol.h"

namespace nutmegplank::request::rollout {

//! The request of the next run of the item \a index at \a engine, which resumes the item's text if
//! it has one. \a wallClockMs are milliseconds since 1970.
auto buildItemRequest(const OpenBatch &batch, std::size_t index, const EngineLoad &engine,
                      const serverprotocol::IServerProtocol &protocol, std::int64_t wallClockMs)
    -> connection::http::Request;

} // namespace nutmegplank::request::rollout
