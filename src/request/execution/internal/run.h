#pragma once

#include "request/execution/internal/attempt.h"
#include "request/execution/internal/attemptregistry.h"
#include "request/execution/internal/cancellation.h"
#include "request/execution/internal/runshared.h"

namespace nutmegplank::request::execution {

//! One request from its first attempt to its outcome. Lives in one coroutine.
class Run
{
public:
    Run(RunShared &shared, RequestSpec spec, RunHooks hooks,
        std::shared_ptr<Cancellation> cancellation, std::shared_ptr<Mailbox> mailbox);
    ~Run();

    auto drive() -> boost::asio::awaitable<RequestOutcome>;

private:
    auto onTime(base::TimePoint now) -> void;
    auto onEvent(RunEvent event) -> boost::asio::awaitable<void>;
    auto onMessage(Attempt &attempt, const wire::Envelope &message) -> boost::asio::awaitable<void>;
    auto onChunk(Attempt &attempt) -> boost::asio::awaitable<void>;
    auto handOn(Attempt &attempt) -> boost::asio::awaitable<absl::Status>;
    auto onAnswer(Attempt &attempt) -> void;
    auto onFailure(const Attempt &attempt, base::TimePoint now) -> void;

    auto startAttempt(base::TimePoint now) -> void;
    auto waitForOwner(base::TimePoint now) -> void;
    auto endWaiting(base::TimePoint now) -> void;
    auto makeSubmit(const std::string &attemptId, const std::string &shard,
                    base::TimePoint now) const -> wire::Submit;
    auto startHedge(base::TimePoint now) -> void;
    auto checkAcceptance(Attempt &attempt, base::TimePoint now) -> void;
    auto cancel(Attempt &attempt, base::TimePoint now) -> void;
    auto retryOrRefuse(const AttemptEnd &end, base::TimePoint now) -> void;
    //! Begins to end the run: nothing new starts, and the refusal waits until all attempts have
    //! ended or can't be waited for any longer.
    auto windDown(Refusal refusal, base::TimePoint now) -> void;
    auto finishWindDown(base::TimePoint now) -> void;
    auto nextWake(base::TimePoint now) const -> base::Duration;
    auto find(const std::string &attemptId) -> Attempt *;
    auto forget(const std::string &attemptId) -> void;

    RunShared &m_shared;
    RequestSpec m_spec;
    RunHooks m_hooks;
    std::shared_ptr<Cancellation> m_cancellation;
    std::shared_ptr<Mailbox> m_mailbox;
    std::string m_fingerprint;
    std::vector<Attempt> m_attempts; //!< Those that have not ended.
    std::uint32_t m_begun = 0;
    std::uint32_t m_moves = 0; //!< Attempts that ended because a shard changed its owner.
    bool m_expired = false;    //!< The deadline passed.
    std::optional<base::TimePoint> m_ownerless; //!< Since when no dispatcher owns the shard.
    std::optional<base::TimePoint> m_arrivedAt; //!< Until a backend server has the request.
    bool m_mayHaveRun = false; //!< Some attempt ended without certainty that it did not run.
    bool m_answerBegun = false;
    bool m_hedged = false;
    bool m_isolated = false;
    std::string m_failedShard;
    std::optional<base::TimePoint> m_startAt; //!< When the next attempt begins.
    std::optional<Refusal> m_refusal;         //!< Set while winding down.
    std::optional<RequestOutcome> m_outcome;
};

} // namespace nutmegplank::request::execution
