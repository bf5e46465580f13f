#include "request/execution/internal/attemptstate.h"

#include "request/execution/wireheaders.h"

namespace nutmegplank::request::execution {

AttemptState::AttemptState(std::string id, std::string shard, std::string dispatcher,
                           base::TimePoint sentAt)
    : m_id(std::move(id))
    , m_shard(std::move(shard))
    , m_dispatcher(std::move(dispatcher))
    , m_sentAt(sentAt)
{
    m_failure.peer = m_dispatcher;
}

auto AttemptState::apply(const wire::Envelope &message, base::TimePoint now) -> AttemptUpdate
{
    if (m_phase == AttemptPhase::Ended)
        return AttemptUpdate::Pending;
    if (message.has_accepted() && m_phase == AttemptPhase::Sent)
        m_phase = AttemptPhase::Accepted;
    if (message.has_started()) {
        m_phase = AttemptPhase::Started;
        m_startedAt = now;
        m_failure.server = message.started().server();
    }
    if (message.has_chunk())
        return applyChunk(message.chunk());
    if (message.has_done())
        return applyDone(message.done());
    if (message.has_failed())
        return applyFailed(message.failed());
    return AttemptUpdate::Pending;
}

auto AttemptState::applyChunk(const wire::Chunk &chunk) -> AttemptUpdate
{
    m_phase = AttemptPhase::Started;
    if (chunk.sequence() != m_chunkCount)
        return fail(wire::FAILURE_TRUNCATED, wire::RAN_UNKNOWN, "a part of the answer was lost");
    ++m_chunkCount;
    if (chunk.sequence() == 0) {
        m_outcome.status = chunk.status();
        m_outcome.headers = toHttpHeaders(chunk.headers());
    }
    if (buffersBody) {
        m_outcome.body += chunk.data();
        return AttemptUpdate::Pending;
    }
    m_chunk = chunk;
    return AttemptUpdate::Chunk;
}

auto AttemptState::applyDone(const wire::Done &done) -> AttemptUpdate
{
    if (done.chunk_count() != m_chunkCount)
        return fail(wire::FAILURE_TRUNCATED, wire::RAN_UNKNOWN, "parts of the answer were lost");
    m_phase = AttemptPhase::Ended;
    m_outcome.ok = true;
    if (m_chunkCount == 0) {
        m_outcome.status = done.status();
        m_outcome.headers = toHttpHeaders(done.headers());
        m_outcome.body = done.body();
    }
    m_outcome.ranges.assign(done.ranges().begin(), done.ranges().end());
    m_outcome.promptTokens = done.prompt_tokens();
    m_outcome.generatedTokens = done.generated_tokens();
    m_outcome.server = done.server();
    m_outcome.serverMilliseconds = done.server_milliseconds();
    m_outcome.cheapServer = done.cheap_server();
    return AttemptUpdate::Completed;
}

auto AttemptState::applyFailed(const wire::Failed &failed) -> AttemptUpdate
{
    m_failure.step = failed.step();
    if (!failed.peer().empty())
        m_failure.peer = failed.peer();
    if (!failed.server().empty())
        m_failure.server = failed.server();
    m_failure.retryAfterMs = failed.retry_after_ms();
    m_failure.serverDied = failed.server_died();
    m_failure.concurrentRequestsAtDeath = failed.died_beside();
    return fail(failed.code(), failed.ran(), failed.message());
}

auto AttemptState::fail(wire::FailureCode code, wire::Ran ran, std::string message) -> AttemptUpdate
{
    m_phase = AttemptPhase::Ended;
    m_failure.code = code;
    m_failure.ran = ran;
    m_failure.message = std::move(message);
    return AttemptUpdate::Failure;
}

auto AttemptState::markNeverSent() -> void
{
    m_failure.step = "attempt.send";
    fail(wire::FAILURE_NONE, wire::RAN_NOT_RUN, "the dispatcher could not be reached");
}

auto AttemptState::markLost() -> void
{
    m_failure.step = "attempt.wait";
    fail(wire::FAILURE_NONE, wire::RAN_UNKNOWN, "the dispatcher stopped answering");
}

} // namespace nutmegplank::request::execution
