#pragma once

#include <memory>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include "request/step/internal/answers.h"
#include "request/step/internal/stepmachine.h"
#include "request/step/internal/stepmetrics.h"

namespace nutmegplank::request::step {

//! What all sessions share; outlives them.
struct SessionResources
{
    boost::asio::io_context &context;
    execution::IRequestRunner &runner;
    version::state::IPlatformLog &log;
    StepMetrics &metrics;
    StepPolicy policy;
};

//! Runs one step: the machine's decisions carried out on a strand of its own.
class StepSession : public std::enable_shared_from_this<StepSession>
{
public:
    using Response = connection::http::Response;

    StepSession(SessionResources &resources, StepCaller caller, StepSpec spec);

    //! Begins to start generations.
    auto start() -> void;
    //! The strand that all calls below must run on.
    auto strand() -> boost::asio::strand<boost::asio::io_context::executor_type> &
    {
        return m_strand;
    }

    auto reopen(StepSpec spec) -> Response;
    auto pull(PullSpec spec) -> boost::asio::awaitable<Response>;
    //! Cuts everything that runs; pulls that wait are refused with \a reason.
    auto close(execution::Refusal reason) -> void;
    //! The trainer's own end of the step; an old epoch is refused.
    auto closeFor(std::uint64_t epoch) -> Response;
    auto drain() -> void;

    //! May be called from any thread.
    auto caller() const -> const StepCaller & { return m_caller; }
    auto isClosed() const -> bool { return m_closed.load(); }

private:
    auto tick() -> boost::asio::awaitable<void>;
    auto startMore() -> void;
    auto generate(Start start) -> boost::asio::awaitable<void>;
    auto keep(AttemptId attempt, base::TimePoint begun, Sample sample) -> void;
    auto discard(AttemptId attempt, Discard reason) -> void;
    auto score(Start start, Sample sample, std::shared_ptr<execution::ICancellation> cancellation)
        -> boost::asio::awaitable<absl::StatusOr<Sample>>;
    auto generationSpec(const Start &start) const -> execution::RequestSpec;
    auto cancelUnneeded() -> void;
    auto noteLogVersion() -> void;
    auto isMoved() const -> bool;
    auto refusalFor(const PullSpec &spec) const -> std::optional<execution::Refusal>;
    auto deliver(const PullSpec &spec, base::TimePoint begun) -> std::optional<Response>;

    SessionResources &m_resources;
    StepCaller m_caller;
    boost::asio::strand<boost::asio::io_context::executor_type> m_strand;
    boost::asio::steady_timer m_wake; //!< Expires never; cancelled to wake pulls that wait.
    StepMachine m_machine;
    std::map<AttemptId, std::shared_ptr<execution::ICancellation>> m_cancellations;
    execution::Refusal m_closeReason;
    base::TimePoint m_lastPull {};
    std::uint64_t m_contentHash;
    std::uint64_t m_pullNumber = 0;
    bool m_draining = false;
    bool m_completeCounted = false;
    std::atomic<bool> m_closed { false };
};

} // namespace nutmegplank::request::step
