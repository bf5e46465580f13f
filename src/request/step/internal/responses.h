#pragma once

#include <string>

#include <absl/status/status.h>

#include "connection/http/message.h"
#include "request/execution/irequestrunner.h"
#include "request/step/internal/stepmachine.h"

namespace nutmegplank::request::step {

//! The JSON response to a pull.
auto pullResponse(const PullResult &result, bool moved) -> connection::http::Response;

//! The JSON error response for a refusal.
auto refusalResponse(const execution::Refusal &refusal) -> connection::http::Response;

//! A refusal of a request that certainly did not run, so repeating it is safe.
auto notRunRefusal(std::uint32_t status, std::string code, std::string message)
    -> execution::Refusal;

} // namespace nutmegplank::request::step
