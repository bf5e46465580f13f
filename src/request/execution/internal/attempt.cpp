#include "request/execution/internal/attempt.h"

#include "request/execution/wireheaders.h"

namespace nutmegplank::request::execution {

Attempt::Attempt(std::string id, std::string shard, std::string dispatcher, base::TimePoint sentAt)
    : m_id(std::move(id))
    , m_shard(std::move(shard))
    , m_dispatcher(std::move(dispatcher))
    , m_sentAt(sentAt)
{
    m_end.peer = m_dispatcher;
}

auto Attempt::apply(const wire::Envelope &message, base::TimePoint now) -> AttemptNews
{
    if (m_phase == AttemptPhase::Ended)
        return AttemptNews::Nothing;
    if (message.has_accepted() && m_phase == AttemptPhase::Sent)
        m_phase = AttemptPhase::Accepted;
    if (message.has_started()) {
        m_phase = AttemptPhase::Started;
        m_startedAt = now;
        m_end.server = message.started().server();
    }
    if (message.has_chunk())
        return takeChunk(message.chunk());
    if (message.has_done())
        return takeDone(message.done());
    if (message.has_failed())
        return takeFailed(message.failed());
    return AttemptNews::Nothing;
}

auto Attempt::takeChunk(const wire::Chunk &chunk) -> AttemptNews
{
    m_phase = AttemptPhase::Started;
    if (chunk.sequence() != m_chunks)
        return fail(wire::FAILURE_TRUNCATED, wire::RAN_UNKNOWN, "a part of the answer was lost");
    ++m_chunks;
    if (chunk.sequence() == 0) {
        m_answer.status = chunk.status();
        m_answer.headers = toHttpHeaders(chunk.headers());
    }
    if (collects) {
        m_answer.body += chunk.data();
        return AttemptNews::Nothing;
    }
    m_chunk = chunk;
    return AttemptNews::Chunk;
}

auto Attempt::takeDone(const wire::Done &done) -> AttemptNews
{
    if (done.chunk_count() != m_chunks)
        return fail(wire::FAILURE_TRUNCATED, wire::RAN_UNKNOWN, "parts of the answer were lost");
    m_phase = AttemptPhase::Ended;
    m_answer.ok = true;
    if (m_chunks == 0) {
        m_answer.status = done.status();
        m_answer.headers = toHttpHeaders(done.headers());
        m_answer.body = done.body();
    }
    m_answer.ranges.assign(done.ranges().begin(), done.ranges().end());
    m_answer.promptTokens = done.prompt_tokens();
    m_answer.generatedTokens = done.generated_tokens();
    m_answer.server = done.server();
    m_answer.serverMilliseconds = done.server_milliseconds();
    m_answer.cheapServer = done.cheap_server();
    return AttemptNews::Answer;
}

auto Attempt::takeFailed(const wire::Failed &failed) -> AttemptNews
{
    m_end.step = failed.step();
    if (!failed.peer().empty())
        m_end.peer = failed.peer();
    if (!failed.server().empty())
        m_end.server = failed.server();
    m_end.retryAfterMs = failed.retry_after_ms();
    m_end.serverDied = failed.server_died();
    m_end.diedBeside = failed.died_beside();
    return fail(failed.code(), failed.ran(), failed.message());
}

auto Attempt::fail(wire::FailureCode code, wire::Ran ran, std::string message) -> AttemptNews
{
    m_phase = AttemptPhase::Ended;
    m_end.code = code;
    m_end.ran = ran;
    m_end.message = std::move(message);
    return AttemptNews::Failure;
}

auto Attempt::markNeverSent() -> void
{
    m_end.step = "attempt.send";
    fail(wire::FAILURE_NONE, wire::RAN_NOT_RUN, "the dispatcher could not be reached");
}

auto Attempt::markLost() -> void
{
    m_end.step = "attempt.wait";
    fail(wire::FAILURE_NONE, wire::RAN_UNKNOWN, "the dispatcher stopped answering");
}

} // namespace nutmegplank::request::execution
