#pragma once

#include <string>

#include "base/enumtable.h"
#include "connection/http/message.h"
#include "request/execution/irequestrunner.h"

//! Refusals as callers see them: stable codes, and whether the request may have run.
namespace nutmegplank::request::refusal {

//! Why a request was refused. The names are part of the callers' interface and never change.
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
    Silent,
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

//! Where a refusal arose and what it says to people.
struct Detail
{
    std::string message;
    std::string step;
    std::string peer;
    std::uint32_t retryAfterMs = 0; //!< 0 takes the code's usual time.
};

//! A refusal with the HTTP status and retry time that belong to \a code. Pass RAN_NOT_RUN only
//! when no attempt wrote a byte to a backend server and none still can.
auto makeRefusal(Code code, wire::Ran ran, Detail detail) -> execution::Refusal;

//! The refusal as the caller receives it.
auto toResponse(const execution::Refusal &refusal, const std::string &requestId)
    -> connection::http::Response;

//! The body of toResponse(), also sent as the last event of a stream that had to be cut.
auto toJson(const execution::Refusal &refusal, const std::string &requestId) -> std::string;

} // namespace nutmegplank::request::refusal
