#pragma once

#include <functional>

#include "process/requestlimits/requestlimits.h"
#include "process/servers/servertable.h"
#include "request/serverprotocol/iserverprotocol.h"

namespace nutmegplank::request::serverprotocol {

//! Called with the head of each response of a backend server, at the time when it arrives.
using HeadObserver = std::function<void(const ResponseMetadata &metadata)>;

//! Who is told what the heads of responses say about the server itself.
struct HeadListeners
{
    process::servers::ServerTable &servers;
    process::requestlimits::RequestLimits &limits;
};

//! Passes on what the response of \a server to a request sent at \a sentAt says about the server.
inline auto noteServerHead(HeadListeners listeners, const std::string &server,
                           const ResponseMetadata &metadata, base::TimePoint sentAt,
                           base::TimePoint now) -> void
{
    const auto isServers =
        metadata.fromServer || metadata.notRun || metadata.requestLimit.has_value();
    if (isServers && !metadata.wrongServer)
        listeners.limits.noteResponse(server, metadata.requestLimit, sentAt, now);
    // A response with status 421 may come from another server at the address. The expected one is
    // not reached there either, until its next record names another process or address.
    if (metadata.leaving)
        listeners.servers.noteLeaving(server, sentAt, now);
}

} // namespace nutmegplank::request::serverprotocol
