#pragma once

#include <memory>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include "request/step/internal/responses.h"
#include "request/step/internal/stepmachine.h"
#include "request/step/internal/stepmetrics.h"

namespace nutmegplank::request::step {

//! Resources shared by all sessions. Must outlive them.
struct SessionResources
{
    boost::asio::io_context &context;
    execution::IRequestRunner &runner;
    version::state::IPlatformLog &log;
    StepMetrics &metrics;
    StepPolicy policy;
};

//! Runs one step: executes the decisions of its StepMachine on a strand of its own.
class StepSession : public std::enable_shared_from_this<StepSession>
{
public:
    using Response = connection::http::Response;

    StepSession(SessionResources &resources, StepCaller caller, StepSpec spec);

    //! Starts the loop that starts generations.
    auto start() -> void;
    //! The strand on which all calls below must run, unless they say otherwise.
    auto strand() -> boost::asio::strand<boost::asio::io_context::executor_type> &
    {
        return m_strand;
    }

    auto reopen(StepSpec spec) -> Response;
    auto pull(PullSpec spec) -> boost::asio::awaitable<Response>;
    //! Cancels all generations; waiting and later pulls are refused with \a reason.
    auto close(execution::Refusal reason) -> void;
    //! Closes the step at its trainer's request; an older epoch is refused.
    auto closeByTrainer(std::uint64_t epoch) -> Response;
    auto drain() -> void;

    //! caller() and isClosed() are thread-safe.
    auto caller() const -> const StepCaller & { return m_caller; }
    auto isClosed() const -> bool { return m_closed.load(); }

private:
    auto runTickLoop() -> boost::asio::awaitable<void>;
    auto startDueGenerations() -> void;
    auto runGeneration(GenerationStart start) -> boost::asio::awaitable<void>;
    auto finishAttempt(AttemptId attempt, base::TimePoint startTime, Sample sample) -> void;
    auto discardAttempt(AttemptId attempt, DiscardReason reason) -> void;
    auto score(GenerationStart start, Sample sample,
               std::shared_ptr<execution::ICancellation> cancellation)
        -> boost::asio::awaitable<absl::StatusOr<Sample>>;
    auto generationSpec(const GenerationStart &start) const -> execution::RequestSpec;
    auto cancelUnneededRuns() -> void;
    auto noteVersionFromLog() -> void;
    //! Whether a drained step has neither running generations nor unacknowledged samples, so that
    //! the trainer can reopen it at another process.
    auto isReadyToMove() const -> bool;
    auto refusalFor(const PullSpec &spec) const -> std::optional<execution::Refusal>;
    auto deliver(const PullSpec &spec, base::TimePoint startTime) -> std::optional<Response>;

    SessionResources &m_resources;
    StepCaller m_caller;
    boost::asio::strand<boost::asio::io_context::executor_type> m_strand;
    boost::asio::steady_timer m_pullWakeup; //!< Never expires; cancelled to wake waiting pulls.
    StepMachine m_machine;
    std::map<AttemptId, std::shared_ptr<execution::ICancellation>> m_cancellations;
    execution::Refusal m_closeReason;
    //! When the latest open, or the wait of the latest pull, ends; idle timeouts count from then.
    base::TimePoint m_lastPullTime {};
    std::uint64_t m_contentHash;
    std::uint64_t m_newestPullNumber = 0;
    bool m_draining = false;
    bool m_completeCounted = false;
    std::atomic<bool> m_closed { false };
};

} // namespace nutmegplank::request::step
