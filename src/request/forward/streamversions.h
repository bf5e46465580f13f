#pragma once

#include <optional>

#include "process/health/serverhealth.h"
#include "process/servers/servertable.h"
#include "request/forward/forwardcall.h"
#include "request/forward/istreamorigins.h"

namespace nutmegplank::request::forward {

//! Keeps each resumable stream to the software version that began it. Calls of other routes pass
//! without restriction.
class StreamVersions
{
public:
    //! All parameters must outlive it.
    StreamVersions(const process::servers::ServerTable &servers,
                   const process::health::ServerHealth &health, IStreamOrigins &origins)
        : m_servers(servers)
        , m_health(health)
        , m_origins(origins)
    { }

    //! If \a call takes up a stream, finds the software version that must go on with it. Returns
    //! nothing if the call may be sent, else how it ends.
    auto prepare(ForwardCall &call) -> boost::asio::awaitable<std::optional<ForwardResult>>;
    //! Whether the software version of \a server allows \a call to be sent to it.
    auto maySend(const ForwardCall &call, const process::servers::Server &server) const -> bool;
    //! Whether the stream of \a call must be recorded before it begins at \a server. Once one
    //! record is made, others must correct it if the stream begins elsewhere.
    auto mustRecord(const ForwardCall &call, const process::servers::Server &server) const -> bool;
    //! Records that the stream begins at \a server, and keeps the call to that software version.
    //! Returns how the call ends if that fails, given whether a server may have run it before.
    auto record(ForwardCall &call, const process::servers::Server &server, bool mayHaveRun)
        -> boost::asio::awaitable<std::optional<ForwardResult>>;

    //! To be called when a stream that began at \a server has broken off, before its caller is
    //! told. If the server came back with other software meanwhile, the stream may have begun at
    //! either version; then nobody may go on with it.
    auto verify(const ForwardCall &call, const process::servers::Server &server)
        -> boost::asio::awaitable<void>;

private:
    auto softwareOf(const process::servers::Server &server) const -> std::string;
    auto isLeft(const std::string &service, const std::string &software) const -> bool;

    const process::servers::ServerTable &m_servers;
    const process::health::ServerHealth &m_health;
    IStreamOrigins &m_origins;
};

} // namespace nutmegplank::request::forward
