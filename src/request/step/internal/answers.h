#pragma once

#include <string>

#include <absl/status/status.h>

#include "connection/http/message.h"
#include "request/execution/irequestrunner.h"
#include "request/step/internal/stepmachine.h"

namespace nutmegplank::request::step {

//! The answer to a pull as JSON.
auto pullAnswer(const PullResult &result, bool moved) -> connection::http::Response;

//! A refusal in the callers' form.
auto refusalAnswer(const execution::Refusal &refusal) -> connection::http::Response;

//! A refusal of something that certainly did not run.
auto notRun(std::uint32_t status, std::string code, std::string message) -> execution::Refusal;

} // namespace nutmegplank::request::step
