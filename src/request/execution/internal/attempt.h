#pragma once

#include <optional>
#include <string>

#include "base/timepoint.h"
#include "request/execution/irequestrunner.h"
#include "request/execution/retrypolicy.h"

namespace nutmegplank::request::execution {

//! How far an attempt has come.
enum class AttemptPhase {
    Sent,
    Accepted,
    Started, //!< Bytes may have been written to a backend server.
    Ended,
};

//! What a message means to the run.
enum class AttemptNews {
    Nothing,
    Chunk,   //!< chunk() holds the next part of the answer.
    Answer,  //!< answer() is whole.
    Failure, //!< end() says how it failed.
};

//! One attempt of a request, as the dispatcher's messages tell it. Does no I/O.
class Attempt
{
public:
    Attempt(std::string id, std::string shard, std::string dispatcher, base::TimePoint sentAt);

    //! Takes one message of this attempt; \a now is when it was read.
    auto apply(const wire::Envelope &message, base::TimePoint now) -> AttemptNews;

    //! The attempt certainly never left this process.
    auto markNeverSent() -> void;
    //! The dispatcher is gone; what it had started may still run.
    auto markLost() -> void;

    auto id() const -> const std::string & { return m_id; }
    auto shard() const -> const std::string & { return m_shard; }
    auto dispatcher() const -> const std::string & { return m_dispatcher; }
    auto server() const -> const std::string & { return m_end.server; }
    auto phase() const -> AttemptPhase { return m_phase; }
    auto sentAt() const -> base::TimePoint { return m_sentAt; }
    auto startedAt() const -> base::TimePoint { return m_startedAt; }
    auto end() const -> const AttemptEnd & { return m_end; }
    auto chunk() const -> const wire::Chunk & { return m_chunk; }
    auto takeAnswer() -> RequestOutcome { return std::move(m_answer); }

    //! Set once a Cancel has been sent: until then its confirmation is waited for.
    std::optional<base::TimePoint> cancelledUntil;
    //! Joins the parts of the answer instead of giving them one by one.
    bool collects = false;
    //! Parts of the answer were handed on.
    bool handedOn = false;

private:
    auto takeChunk(const wire::Chunk &chunk) -> AttemptNews;
    auto takeDone(const wire::Done &done) -> AttemptNews;
    auto takeFailed(const wire::Failed &failed) -> AttemptNews;
    auto fail(wire::FailureCode code, wire::Ran ran, std::string message) -> AttemptNews;

    std::string m_id;
    std::string m_shard;
    std::string m_dispatcher;
    base::TimePoint m_sentAt;
    base::TimePoint m_startedAt {};
    AttemptPhase m_phase = AttemptPhase::Sent;
    std::uint32_t m_chunks = 0;
    wire::Chunk m_chunk;
    AttemptEnd m_end;
    RequestOutcome m_answer;
};

} // namespace nutmegplank::request::execution
