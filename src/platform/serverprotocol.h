#pragma once

#include "request/serverprotocol/iserverprotocol.h"

namespace nutmegplank::platform {

//! Encodes requests to backend servers and decodes their responses in the platform's HTTP format.
class ServerProtocol : public request::serverprotocol::IServerProtocol
{
public:
    auto addEnvelope(connection::http::Request &request,
                     const request::serverprotocol::Envelope &envelope) const -> void override;
    auto readHead(const connection::http::Response &head) const
        -> request::serverprotocol::ResponseMetadata override;
    auto versionField() const -> std::string override;
};

} // namespace nutmegplank::platform
