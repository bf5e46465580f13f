#pragma once

#include <string>
#include <variant>

#include "connection/http/message.h"
#include "request/execution/irequestrunner.h"
#include "version/configuration/configuration.h"

//! Who a caller is and where its request goes: keys, routes and the rules of the preset in force.
namespace nutmegplank::request::admission {

//! What kind of work a request asks for.
enum class Target {
    Route, //!< A backend server behind a route.
    Step,  //!< A trainer's step or new weights.
};

//! A request that may run. Holds no key.
struct Admitted
{
    connection::http::Request request; //!< Without credentials and connection headers.
    Target target = Target::Route;
    std::string workspace;
    std::string keyId; //!< Empty on open routes.
    std::string route;
    version::configuration::Service service; //!< Empty for steps.
    bool idempotent = false;
};

using Verdict = std::variant<Admitted, execution::Refusal>;

//! Decides on one request against one configuration snapshot. \a mayServeKeyed says whether this
//! process may trust the snapshot's keys now.
auto admit(connection::http::Request request,
           const version::configuration::Configuration &configuration, bool mayServeKeyed)
    -> Verdict;

//! Whether the key called \a keyId may be used under \a configuration.
auto isKeyValid(const version::configuration::Configuration &configuration,
                const std::string &keyId) -> bool;

} // namespace nutmegplank::request::admission
