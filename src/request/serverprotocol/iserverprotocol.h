#pragma once

#include <optional>
#include <string>

#include "base/timepoint.h"
#include "connection/http/message.h"

//! How requests and answers look between this process and a backend server, apart from their
//! spelling.
namespace nutmegplank::request::serverprotocol {

//! What a backend server is told beside the caller's own request.
struct Envelope
{
    std::string serverId;    //!< Any other server at the address does not run the request.
    std::string workspace;   //!< Empty on open routes.
    base::Duration timeLeft; //!< The server stops work after this.
    std::optional<std::uint32_t> urgency;       //!< 0 is first; engines only.
    std::optional<std::uint64_t> lastEvent;     //!< Resume after this event.
    std::optional<std::uint64_t> weightVersion; //!< A server with other weights does not run it.
};

//! What the head of an answer says beside its status.
struct AnswerHead
{
    std::string requestId; //!< Of the request that it answers; empty when it names none.
    bool notRun = false;   //!< The server says that it has not run the request.
    bool wrongServer = false;
    bool fromServer = false; //!< Carries the server's own stamp.
    std::optional<std::uint64_t> weightVersion;
};

class IServerProtocol
{
public:
    virtual ~IServerProtocol() = default;

    //! Adds \a envelope to \a request, which holds the caller's own headers.
    virtual auto seal(connection::http::Request &request, const Envelope &envelope) const
        -> void = 0;
    virtual auto readHead(const connection::http::Response &head) const -> AnswerHead = 0;
    //! The field of an event stream that carries a change of the weight version.
    virtual auto versionField() const -> std::string = 0;
};

} // namespace nutmegplank::request::serverprotocol
