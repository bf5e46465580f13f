#include "request/execution/internal/attemptrefusal.h"

#include "request/refusal/refusal.h"

namespace nutmegplank::request::execution {

namespace {

auto codeFor(const AttemptFailure &failure) -> refusal::Code
{
    using refusal::Code;
    switch (failure.code) {
    case wire::FAILURE_QUEUE_FULL:
    case wire::FAILURE_SERVER_REFUSED:
        return Code::Overloaded;
    case wire::FAILURE_DEADLINE:
        return Code::DeadlineExceeded;
    case wire::FAILURE_NO_SERVER:
        return Code::NoServer;
    case wire::FAILURE_CONNECT:
        return Code::ServerUnreachable;
    case wire::FAILURE_SERVER_DIED:
        return Code::ServerDied;
    case wire::FAILURE_TRUNCATED:
        return Code::TruncatedAnswer;
    case wire::FAILURE_SILENT:
        return Code::Silent;
    case wire::FAILURE_CANCELLED:
        return Code::Cancelled;
    case wire::FAILURE_QUARANTINED:
        return Code::Quarantined;
    case wire::FAILURE_NOT_OWNER:
    case wire::FAILURE_FENCED:
        return Code::NoDispatcher;
    default:
        return Code::DispatcherLost;
    }
}

} // namespace

auto refusalFor(const AttemptFailure &failure) -> Refusal
{
    return refusal::makeRefusal(
        codeFor(failure), wire::RAN_UNKNOWN,
        { failure.message, failure.step, failure.peer, failure.retryAfterMs });
}

} // namespace nutmegplank::request::execution
