#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "base/timepoint.h"
#include "connection/http/message.h"

//! Requests to backend servers and their responses, independent of the wire format.
namespace nutmegplank::request::serverprotocol {

//! Metadata that a backend server receives in addition to the caller's request.
struct Envelope
{
    std::string serverId;                 //!< Any other server at the address refuses the request.
    std::string workspace;                //!< Empty if the request belongs to none.
    base::Duration timeLeft;              //!< The server stops working on it after this time.
    std::optional<std::uint32_t> urgency; //!< 0 is the most urgent; engines only.
    std::optional<std::uint64_t> lastEvent;     //!< Id of the event after which to resume.
    std::optional<std::uint64_t> weightVersion; //!< Servers with another version refuse it.
    std::string requestId; //!< Set if the request does not carry an id of its own.
};

//! Metadata in the head of a response, in addition to its status.
struct ResponseMetadata
{
    std::uint32_t status = 0;
    std::string requestId;    //!< Id of the request it belongs to; empty if not given.
    bool notRun = false;      //!< The server states that it did not run the request.
    bool wrongServer = false; //!< Another server or weight version is at the address.
    bool fromServer = false;  //!< Carries the stamp header that only backend servers set.
    std::string stamp;        //!< Value of that header.
    std::optional<std::uint64_t> weightVersion;
    bool leaving = false;               //!< The server states that it is about to end.
    std::optional<double> requestLimit; //!< Requests per second, over all machines.

    //! Whether the server began to run the request, by the head of its answer.
    auto isTaken() const -> bool;
    //! Whether the answer faults the request itself: the server serves others as before.
    auto faultsRequest() const -> bool;
};

//! Writes metadata to requests for backend servers and reads it from their responses.
class IServerProtocol
{
public:
    virtual ~IServerProtocol() = default;

    //! Adds \a envelope as headers to \a request, which holds the caller's own headers.
    virtual auto addEnvelope(connection::http::Request &request, const Envelope &envelope) const
        -> void = 0;
    virtual auto readHead(const connection::http::Response &head) const -> ResponseMetadata = 0;
    //! Name of the event stream field that announces a change of the weight version.
    virtual auto versionField() const -> std::string = 0;
};

} // namespace nutmegplank::request::serverprotocol
