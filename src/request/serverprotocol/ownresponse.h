#pragma once

#include <functional>

#include <boost/asio/awaitable.hpp>

#include "connection/http/ihttpconnection.h"
#include "request/serverprotocol/iserverprotocol.h"

namespace nutmegplank::request::serverprotocol {

//! Head of the response to a request.
struct OwnResponse
{
    connection::http::Response head;
    ResponseMetadata metadata;
    //! Responses to other requests arrived first. The connection must not be used again.
    bool skippedOthers = false;
};

//! Reads heads on \a connection until one belongs to the request \a requestId. Servers name the
//! request in their responses; a late second copy of an earlier response is read to its end and
//! discarded. \a timeLeft limits each step. Fails if too many other responses arrive.
auto readOwnResponse(connection::http::IHttpConnection &connection, const IServerProtocol &protocol,
                     std::string requestId, std::function<base::Duration()> timeLeft)
    -> boost::asio::awaitable<absl::StatusOr<OwnResponse>>;

} // namespace nutmegplank::request::serverprotocol
