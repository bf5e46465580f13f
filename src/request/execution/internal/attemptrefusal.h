#pragma once

#include "request/execution/irequestrunner.h"
#include "request/execution/retrypolicy.h"

namespace nutmegplank::request::execution {

//! The refusal that reports \a failure of the last attempt to the caller. Its `ran` is a
//! placeholder that the run sets later.
auto refusalFor(const AttemptFailure &failure) -> Refusal;

} // namespace nutmegplank::request::execution
