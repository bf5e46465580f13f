#pragma once

#include <string>
#include <variant>

#include "connection/http/message.h"
#include "request/execution/irequestrunner.h"
#include "version/configuration/configuration.h"

//! Authenticates requests of callers by key and routes them, under the active preset.
namespace nutmegplank::request::admission {

//! What a request is addressed to.
enum class Target {
    Route, //!< The backend servers of the service of a route.
    Step,  //!< The step and weight endpoints of trainers.
};

//! An accepted request. It contains no key.
struct AdmittedRequest
{
    connection::http::Request request; //!< Credentials and hop-by-hop headers are removed.
    Target target = Target::Route;
    std::string workspace;
    std::string keyId; //!< Empty for requests without a key, on open routes.
    std::string route;
    version::configuration::Service service; //!< Empty for steps.
    bool idempotent = false; //!< Whether the request may be sent again after it may have run.
};

using AdmissionResult = std::variant<AdmittedRequest, execution::Refusal>;

//! Accepts or refuses one request under one configuration snapshot. While \a configurationConfirmed
//! is false, the snapshot may be out of date and still hold withdrawn keys, so that only requests
//! without a key are served, on open routes. A key that comes with a request counts on every route.
auto admit(connection::http::Request request,
           const version::configuration::Configuration &configuration, bool configurationConfirmed)
    -> AdmissionResult;

//! Whether the key with the id \a keyId exists, is not withdrawn and belongs to an existing
//! workspace.
auto isKeyValid(const version::configuration::Configuration &configuration,
                const std::string &keyId) -> bool;

} // namespace nutmegplank::request::admission
