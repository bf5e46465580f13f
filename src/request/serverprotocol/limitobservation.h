#pragma once

#include <functional>

#include "process/requestlimits/requestlimits.h"
#include "request/serverprotocol/iserverprotocol.h"

namespace nutmegplank::request::serverprotocol {

//! Called with the head of each response of a backend server, at the time when it arrives.
using HeadObserver = std::function<void(const ResponseMetadata &metadata)>;

//! Passes on what the response of \a server to a request sent at \a sentAt says about its limit.
inline auto noteRequestLimit(process::requestlimits::RequestLimits &limits,
                             const std::string &server, const ResponseMetadata &metadata,
                             base::TimePoint sentAt, base::TimePoint now) -> void
{
    const auto isServers =
        metadata.fromServer || metadata.notRun || metadata.requestLimit.has_value();
    if (isServers && !metadata.wrongServer)
        limits.noteResponse(server, metadata.requestLimit, sentAt, now);
}

} // namespace nutmegplank::request::serverprotocol
