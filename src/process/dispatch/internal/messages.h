#pragma once

#include <string>

#include "connection/link/link.pb.h"
#include "request/attempt/attempt.h"

//! Answers of a dispatcher, as messages.
namespace nutmegplank::process::dispatch {

//! A failure of an attempt that never reached a backend server.
struct Rejection
{
    wire::FailureCode code = wire::FAILURE_NONE;
    std::string message;
    std::string step;
    std::uint32_t retryAfterMs = 0;
};

//! What is known about a server that failed under an attempt.
struct ServerFault
{
    bool died = false;
    std::uint32_t diedBeside = 0;
};

auto acceptedMessage(const std::string &attemptId) -> wire::Envelope;
auto startedMessage(const std::string &attemptId, const std::string &server) -> wire::Envelope;
auto rejectedMessage(const std::string &attemptId, const Rejection &rejection) -> wire::Envelope;
auto cancelledMessage(const std::string &attemptId, wire::Ran ran) -> wire::Envelope;
auto failedMessage(const std::string &attemptId, const request::attempt::AttemptOutcome &outcome,
                   const ServerFault &fault) -> wire::Envelope;
auto doneMessage(const std::string &attemptId, request::attempt::AttemptOutcome outcome)
    -> wire::Envelope;
auto chunkMessage(const std::string &attemptId, std::uint32_t sequence,
                  const connection::http::Response &head, std::string data) -> wire::Envelope;

//! Name of a failure for metrics and logs.
auto failureName(wire::FailureCode code) -> std::string_view;

} // namespace nutmegplank::process::dispatch
