#pragma once

#include <optional>

#include "request/serverprotocol/ownresponse.h"

namespace nutmegplank::request::serverprotocol {

//! The head of a server's answer to a request, with the proof that it is that: its stamp, and the
//! id of the request. What has no proof can't become one, so that whoever writes an answer to a
//! caller before the answer is complete takes this type.
class ServerHead
{
public:
    //! nullopt if \a response has no stamp, or refuses the request.
    static auto verify(const OwnResponse &response) -> std::optional<ServerHead>;

    auto response() const -> const connection::http::Response & { return m_response; }
    auto status() const -> std::uint32_t { return m_response.status; }
    //! Whether the head says how long the body is.
    auto hasLength() const -> bool;

private:
    explicit ServerHead(connection::http::Response response);

    connection::http::Response m_response; //!< Without a body.
};

} // namespace nutmegplank::request::serverprotocol
