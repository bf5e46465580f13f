#pragma once

#include <optional>
#include <string>

#include "base/timepoint.h"
#include "request/execution/irequestrunner.h"
#include "request/execution/retrypolicy.h"

namespace nutmegplank::request::execution {

//! Progress of an attempt.
enum class AttemptPhase {
    Sent,
    Accepted,
    Started, //!< Bytes may have been written to a backend server.
    Ended,
};

//! Effect of a dispatcher message on an attempt.
enum class AttemptUpdate {
    Pending,   //!< No result for the run yet.
    Chunk,     //!< chunk() holds the next chunk of the response.
    Completed, //!< takeOutcome() returns the complete response.
    Failure,   //!< failure() says how it failed.
};

//! State of one attempt of a request in the process that runs the request, updated from the
//! messages of the dispatcher, which makes the attempt (see request::attempt). Does no I/O.
class AttemptState
{
public:
    AttemptState(std::string id, std::string shard, std::string dispatcher, base::TimePoint sentAt);

    //! Applies one message of this attempt that was read at \a now.
    auto apply(const wire::Envelope &message, base::TimePoint now) -> AttemptUpdate;

    //! Fails the attempt as certainly not run: its message never left this process.
    auto markNeverSent() -> void;
    //! Fails the attempt because its dispatcher is lost or does not answer. The request may still
    //! be running.
    auto markLost() -> void;

    auto id() const -> const std::string & { return m_id; }
    auto shard() const -> const std::string & { return m_shard; }
    auto dispatcher() const -> const std::string & { return m_dispatcher; }
    //! The backend server of the attempt; empty until the dispatcher has named it.
    auto server() const -> const std::string & { return m_failure.server; }
    auto phase() const -> AttemptPhase { return m_phase; }
    auto sentAt() const -> base::TimePoint { return m_sentAt; }
    auto startedAt() const -> base::TimePoint { return m_startedAt; }
    auto failure() const -> const AttemptFailure & { return m_failure; }
    auto chunk() const -> const wire::Chunk & { return m_chunk; }
    auto takeOutcome() -> RequestOutcome { return std::move(m_outcome); }

    //! Set once a Cancel has been sent: the run waits until this time for the confirmation.
    std::optional<base::TimePoint> cancelConfirmationDeadline;
    //! Collects the chunks into one body instead of reporting each.
    bool buffersBody = false;
    //! Part of the response has been passed to the hooks of the run.
    bool responseForwarded = false;

private:
    auto applyChunk(const wire::Chunk &chunk) -> AttemptUpdate;
    auto applyDone(const wire::Done &done) -> AttemptUpdate;
    auto applyFailed(const wire::Failed &failed) -> AttemptUpdate;
    auto fail(wire::FailureCode code, wire::Ran ran, std::string message) -> AttemptUpdate;

    std::string m_id;
    std::string m_shard;
    std::string m_dispatcher;
    base::TimePoint m_sentAt;
    base::TimePoint m_startedAt {};
    AttemptPhase m_phase = AttemptPhase::Sent;
    std::uint32_t m_chunkCount = 0;
    wire::Chunk m_chunk;
    AttemptFailure m_failure;
    RequestOutcome m_outcome;
};

} // namespace nutmegplank::request::execution
