#pragma once

#include <string>

#include "connection/http/httpserver.h"
#include "process/settings/settings.h"
#include "request/execution/requestrunner.h"

namespace nutmegplank::app::gateway {

//! Certificate and key files; both empty for plain TCP.
struct TlsSettings
{
    std::string certificate; //!< PEM chain.
    std::string key;         //!< PEM private key.

    auto enabled() const -> bool { return !certificate.empty(); }
};

//! All settings of the gateway.
struct GatewaySettings
{
    process::settings::NodeSettings node;
    base::Duration confirmBound {};      //!< How old a confirmation of the configuration may be.
    base::Duration addressKeep {};       //!< How long callers may keep an address answer.
    base::Duration idempotencyMemory {}; //!< How long records of idempotency keys are kept.
    base::Duration quarantineHold {};
    TlsSettings tls;
    connection::http::ServerLimits limits;
    std::uint64_t heldBytes = 0; //!< Of all requests' bodies together.
    request::execution::RunnerSettings runner;
    bool stepHedging = true;
};

//! Reads and checks a settings file; the error is one line that names file and field.
auto readGatewaySettings(const std::string &path) -> absl::StatusOr<GatewaySettings>;

} // namespace nutmegplank::app::gateway
