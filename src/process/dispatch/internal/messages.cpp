#include "process/dispatch/internal/messages.h"

#include "base/enumtable.h"

namespace nutmegplank::process::dispatch {

namespace {

constexpr auto FAILURE_NAMES = base::EnumTable<wire::FailureCode, 13> { {
    { wire::FAILURE_NONE, "done" },
    { wire::FAILURE_NOT_OWNER, "not_owner" },
    { wire::FAILURE_QUEUE_FULL, "queue_full" },
    { wire::FAILURE_DEADLINE, "deadline" },
    { wire::FAILURE_NO_SERVER, "no_server" },
    { wire::FAILURE_CONNECT, "connect" },
    { wire::FAILURE_SERVER_DIED, "server_died" },
    { wire::FAILURE_TRUNCATED, "truncated" },
    { wire::FAILURE_SILENT, "silent" },
    { wire::FAILURE_CANCELLED, "cancelled" },
    { wire::FAILURE_FENCED, "fenced" },
    { wire::FAILURE_QUARANTINED, "quarantined" },
    { wire::FAILURE_SERVER_REFUSED, "server_refused" },
} };

template <typename Message>
auto addHeaders(const connection::http::Headers &headers, Message &message) -> void
{
    for (const auto &header : headers) {
        auto *added = message.add_headers();
        added->set_name(header.name);
        added->set_value(header.value);
    }
}

} // namespace

auto failureName(wire::FailureCode code) -> std::string_view
{
    return base::nameOf(FAILURE_NAMES, code);
}

auto acceptedMessage(const std::string &attemptId) -> wire::Envelope
{
    auto envelope = wire::Envelope();
    envelope.mutable_accepted()->set_attempt_id(attemptId);
    return envelope;
}

auto startedMessage(const std::string &attemptId, const std::string &server) -> wire::Envelope
{
    auto envelope = wire::Envelope();
    envelope.mutable_started()->set_attempt_id(attemptId);
    envelope.mutable_started()->set_server(server);
    return envelope;
}

auto rejectedMessage(const std::string &attemptId, const Rejection &rejection) -> wire::Envelope
{
    auto envelope = wire::Envelope();
    auto &failed = *envelope.mutable_failed();
    failed.set_attempt_id(attemptId);
    failed.set_code(rejection.code);
    failed.set_ran(wire::RAN_NOT_RUN);
    failed.set_message(rejection.message);
    failed.set_step(rejection.step);
    failed.set_retry_after_ms(rejection.retryAfterMs);
    return envelope;
}

auto cancelledMessage(const std::string &attemptId, wire::Ran ran) -> wire::Envelope
{
    auto envelope = wire::Envelope();
    auto &failed = *envelope.mutable_failed();
    failed.set_attempt_id(attemptId);
    failed.set_code(wire::FAILURE_CANCELLED);
    failed.set_ran(ran);
    failed.set_message("cancelled");
    failed.set_step("dispatch.cancel");
    return envelope;
}

auto failedMessage(const std::string &attemptId, const request::attempt::AttemptOutcome &outcome,
                   const ServerFault &fault) -> wire::Envelope
{
    auto envelope = wire::Envelope();
    auto &failed = *envelope.mutable_failed();
    failed.set_attempt_id(attemptId);
    failed.set_code(outcome.failure);
    failed.set_ran(outcome.ran);
    failed.set_message(outcome.message);
    failed.set_step(outcome.step);
    failed.set_retry_after_ms(outcome.retryAfterMs);
    failed.set_server_died(fault.died);
    failed.set_died_beside(fault.diedBeside);
    return envelope;
}

auto doneMessage(const std::string &attemptId, request::attempt::AttemptOutcome outcome)
    -> wire::Envelope
{
    auto envelope = wire::Envelope();
    auto &done = *envelope.mutable_done();
    done.set_attempt_id(attemptId);
    done.set_status(outcome.status);
    addHeaders(outcome.headers, done);
    done.set_body(std::move(outcome.body));
    done.set_chunk_count(outcome.partCount);
    for (const auto &range : outcome.ranges)
        *done.add_ranges() = range;
    done.set_prompt_tokens(outcome.promptTokens);
    done.set_generated_tokens(outcome.generatedTokens);
    const auto spent = std::max<std::int64_t>(0, base::toMilliseconds(outcome.serverTime));
    done.set_server_milliseconds(static_cast<std::uint32_t>(spent));
    return envelope;
}

auto chunkMessage(const std::string &attemptId, std::uint32_t sequence,
                  const connection::http::Response &head, std::string data) -> wire::Envelope
{
    auto envelope = wire::Envelope();
    auto &chunk = *envelope.mutable_chunk();
    chunk.set_attempt_id(attemptId);
    chunk.set_sequence(sequence);
    chunk.set_data(std::move(data));
    if (sequence > 0)
        return envelope;
    chunk.set_status(head.status);
    addHeaders(head.headers, chunk);
    return envelope;
}

} // namespace nutmegplank::process::dispatch
