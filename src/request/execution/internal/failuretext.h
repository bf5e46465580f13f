#pragma once

#include "request/execution/irequestrunner.h"
#include "request/execution/retrypolicy.h"

namespace nutmegplank::request::execution {

//! What the caller is told about the end of the last attempt; whether it ran is filled in later.
auto refusalFor(const AttemptEnd &end) -> Refusal;

} // namespace nutmegplank::request::execution
