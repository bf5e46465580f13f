#include "request/serverprotocol/serverhead.h"

namespace nutmegplank::request::serverprotocol {

ServerHead::ServerHead(connection::http::Response response)
    : m_response(std::move(response))
{
    m_response.body.clear();
}

auto ServerHead::verify(const OwnResponse &response) -> std::optional<ServerHead>
{
    const auto &metadata = response.metadata;
    if (!metadata.fromServer || metadata.notRun || metadata.wrongServer)
        return std::nullopt;
    return ServerHead(response.head);
}

auto ServerHead::hasLength() const -> bool
{
    return !connection::http::headerValue(m_response.headers, "Content-Length").empty();
}

} // namespace nutmegplank::request::serverprotocol
