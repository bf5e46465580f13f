#pragma once

#include <string>

#include "base/enumtable.h"
#include "connection/http/message.h"
#include "request/execution/irequestrunner.h"

//! Refusals as returned to callers: stable codes, and whether the request may have run.
namespace nutmegplank::request::refusal {

//! Reason for a refusal. The names in CODE_NAMES are part of the public API and must not change.
enum class Code {
    MalformedRequest,
    MissingKey,
    UnknownKey,
    AmbiguousKey,
    MisplacedKey,
    KeyWithdrawn,
    NoRoute,
    NoService,
    ConfigurationUnconfirmed,
    RolloutsRefused,
    Overloaded,
    DeadlineExceeded,
    NoDispatcher,
    NoServer,
    ServerUnreachable,
    ServerDied,
    TruncatedAnswer,
    Silent, //!< The backend server made no progress in time.
    DispatcherLost,
    Cancelled,
    CallerGone,
    Quarantined,
    InProgress,
    IdempotencyKeyReused,
    IdempotencyUnknown,
    IdempotencyUnavailable,
    ShuttingDown,
};

constexpr auto CODE_NAMES = base::EnumTable<Code, 27> { {
    { Code::MalformedRequest, "malformed_request" },
    { Code::MissingKey, "missing_key" },
    { Code::UnknownKey, "unknown_key" },
    { Code::AmbiguousKey, "ambiguous_key" },
    { Code::MisplacedKey, "misplaced_key" },
    { Code::KeyWithdrawn, "key_withdrawn" },
    { Code::NoRoute, "no_route" },
    { Code::NoService, "no_service" },
    { Code::ConfigurationUnconfirmed, "configuration_unconfirmed" },
    { Code::RolloutsRefused, "rollouts_refused" },
    { Code::Overloaded, "overloaded" },
    { Code::DeadlineExceeded, "deadline_exceeded" },
    { Code::NoDispatcher, "no_dispatcher" },
    { Code::NoServer, "no_server" },
    { Code::ServerUnreachable, "server_unreachable" },
    { Code::ServerDied, "server_died" },
    { Code::TruncatedAnswer, "truncated_answer" },
    { Code::Silent, "silent" },
    { Code::DispatcherLost, "dispatcher_lost" },
    { Code::Cancelled, "cancelled" },
    { Code::CallerGone, "caller_gone" },
    { Code::Quarantined, "quarantined" },
    { Code::InProgress, "in_progress" },
    { Code::IdempotencyKeyReused, "idempotency_key_reused" },
    { Code::IdempotencyUnknown, "idempotency_unknown" },
    { Code::IdempotencyUnavailable, "idempotency_unavailable" },
    { Code::ShuttingDown, "shutting_down" },
} };

//! Origin of a refusal and its message for people.
struct Detail
{
    std::string message;
    std::string step;               //!< Processing step that failed, for instance "attempt.send".
    std::string peer;               //!< The other process involved, if any.
    std::uint32_t retryAfterMs = 0; //!< 0 selects the default of the code.
};

//! Refusal with the HTTP status and retry time of \a code. Pass RAN_NOT_RUN only if no attempt has
//! written a byte to a backend server and none can still do so.
auto makeRefusal(Code code, wire::Ran ran, Detail detail) -> execution::Refusal;

//! HTTP response that the caller receives.
auto toResponse(const execution::Refusal &refusal, const std::string &requestId)
    -> connection::http::Response;

//! Body of toResponse(), also sent as the last event of a stream that is aborted.
auto toJson(const execution::Refusal &refusal, const std::string &requestId) -> std::string;

} // namespace nutmegplank::request::refusal
