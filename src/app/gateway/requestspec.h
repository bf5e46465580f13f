#pragma once

#include <variant>

#include "request/admission/admission.h"
#include "request/execution/irequestrunner.h"

namespace nutmegplank::app::gateway {

//! The caller's id of a request if it is a plain one, otherwise a new one.
auto requestIdFor(const connection::http::Request &request) -> std::string;

//! What the runner is to do for an admitted request, or why it can't be done. Removes the headers
//! that are meant for the gateway. \a deadlineText is the caller's X-Deadline-Ms, empty when
//! absent.
auto makeSpec(const request::admission::AdmittedRequest &admitted, std::string requestId,
              const std::string &deadlineText, base::TimePoint now)
    -> std::variant<request::execution::RequestSpec, request::execution::Refusal>;

} // namespace nutmegplank::app::gateway
