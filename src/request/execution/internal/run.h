#pragma once

#include "request/execution/internal/attemptregistry.h"
#include "request/execution/internal/attemptstate.h"
#include "request/execution/internal/cancellation.h"
#include "request/execution/internal/runshared.h"

namespace nutmegplank::request::execution {

//! Runs one request from its first attempt to its outcome, in one coroutine.
class Run
{
public:
    Run(RunShared &shared, RequestSpec spec, RunHooks hooks,
        std::shared_ptr<Cancellation> cancellation, std::shared_ptr<Mailbox> mailbox);
    ~Run();

    auto execute() -> boost::asio::awaitable<RequestOutcome>;

private:
    auto handleTimers(base::TimePoint now) -> void;
    auto onEvent(RunEvent event) -> boost::asio::awaitable<void>;
    auto onMessage(AttemptState &attempt, const wire::Envelope &message)
        -> boost::asio::awaitable<void>;
    auto onChunk(AttemptState &attempt) -> boost::asio::awaitable<void>;
    auto forwardChunk(AttemptState &attempt) -> boost::asio::awaitable<absl::Status>;
    auto onAnswer(AttemptState &attempt) -> void;
    auto onFailure(const AttemptState &attempt, base::TimePoint now) -> void;

    auto startAttempt(base::TimePoint now) -> void;
    auto waitForShardOwner(base::TimePoint now) -> void;
    //! Tells the demand meter that the request no longer waits for a backend server.
    auto recordWaitEnd(base::TimePoint now) -> void;
    auto makeSubmit(const std::string &attemptId, const std::string &shard,
                    base::TimePoint now) const -> wire::Submit;
    auto startHedge(base::TimePoint now) -> void;
    //! Handles overdue acceptances and overdue confirmations of a cancellation.
    auto checkAttemptTimeouts(AttemptState &attempt, base::TimePoint now) -> void;
    auto cancelAttempt(AttemptState &attempt, base::TimePoint now) -> void;
    auto retryOrAbort(const AttemptFailure &failure, base::TimePoint now) -> void;
    //! Starts to end the run with \a refusal: cancels all attempts and starts no new ones. The
    //! outcome is set by finishAbort().
    auto abortRun(Refusal refusal, base::TimePoint now) -> void;
    //! Sets the outcome once each attempt has ended or its cancellation has timed out.
    auto finishAbort(base::TimePoint now) -> void;
    auto timeUntilNextCheck(base::TimePoint now) const -> base::Duration;
    auto findAttempt(const std::string &attemptId) -> AttemptState *;
    auto removeAttempt(const std::string &attemptId) -> void;

    RunShared &m_shared;
    RequestSpec m_spec;
    RunHooks m_hooks;
    std::shared_ptr<Cancellation> m_cancellation;
    std::shared_ptr<Mailbox> m_mailbox;
    std::string m_fingerprint;
    std::vector<AttemptState> m_attempts; //!< Attempts that have not ended.
    std::uint32_t m_attemptCount = 0;     //!< Attempts started so far.
    std::uint32_t m_ownershipChanges = 0; //!< Attempts that ended by a change of shard owner.
    bool m_deadlinePassed = false;        //!< The run was aborted because of its deadline.
    std::optional<base::TimePoint> m_noOwnerSince; //!< Set while no dispatcher owns the shard.
    //! Arrival time; reset once a backend server has the request.
    std::optional<base::TimePoint> m_waitingSince;
    bool m_mayHaveRun = false; //!< An attempt ended that may have run on a backend server.
    bool m_responseStarted = false;
    bool m_hedged = false;      //!< Also set if the retry budget did not allow the hedge.
    bool m_isolated = false;    //!< The latest attempt must run alone on its backend server.
    std::string m_avoidedShard; //!< Of the last failed attempt, or of the one that is hedged.
    std::optional<base::TimePoint> m_nextAttemptAt; //!< Start time of the next attempt, if any.
    std::optional<Refusal> m_refusal;               //!< Set while aborting.
    std::optional<RequestOutcome> m_outcome;
};

} // namespace nutmegplank::request::execution
