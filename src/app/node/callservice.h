#pragma once

#include <functional>
#include <memory>

#include "app/node/batchcalls.h"
#include "app/node/batchstore.h"
#include "app/node/exchange.h"
#include "app/node/relay.h"
#include "connection/http/ihttpresponder.h"
#include "process/clock/truetime.h"
#include "process/memory/heldanswers.h"
#include "process/metrics/metrics.h"
#include "request/call/call.h"
#include "request/forward/forwarder.h"
#include "request/shutdown/shutdowngate.h"
#include "version/routing/routingtable.h"

namespace nutmegplank::app::node {

//! What the service works with; all of it outlives the service.
struct CallServiceParts
{
    boost::asio::io_context &context;
    const request::call::ICallProtocol &protocol;
    request::forward::Forwarder &forwarder;
    BatchStore &batches;
    Relay &relay;
    request::shutdown::ShutdownGate &shutdown;
    process::memory::HeldAnswers &heldAnswers;
    process::clock::TrueTime &trueTime;
    process::metrics::Registry &metrics;
    std::function<version::routing::RoutingTablePtr()> routing;
    //! Whether the list of backend servers has been read since the start.
    std::function<bool()> serversKnown;
    //! Whether this process was paused and reads the configuration again before it acts on it.
    std::function<bool()> resuming;
};

//! Answers callers.
class CallService
{
public:
    explicit CallService(CallServiceParts parts);

    auto handle(connection::http::Request request, connection::http::IHttpResponder &responder)
        -> boost::asio::awaitable<void>;

private:
    using Answer = connection::http::Response;
    using HandlePtr = std::shared_ptr<request::forward::ForwardHandle>;

    //! Refuses the call or sets its caller.
    auto admit(Exchange &exchange, const version::routing::Route *route) const
        -> std::optional<request::call::Refusal>;
    static auto refuseTooLarge(const Exchange &exchange, const version::routing::Route &route)
        -> std::optional<request::call::Refusal>;
    static auto refuseUnrunnable(const Exchange &exchange,
                                 const version::batch::Submission &submission)
        -> std::optional<request::call::Refusal>;
    using ExchangePtr = std::shared_ptr<const Exchange>;

    //! Runs \a work, and answers for it if this process ends before.
    auto answerInTime(ExchangePtr exchange, std::function<boost::asio::awaitable<Answer>()> work)
        -> boost::asio::awaitable<Answer>;
    //! Whether a stopping process must leave the call to another one.
    auto isTooLate(const Exchange &exchange, const version::routing::Route *route) const -> bool;
    auto patienceOf(const Exchange &exchange, const version::routing::Route &route) const
        -> base::Duration;
    auto forward(Exchange exchange, connection::http::Request request,
                 const version::routing::Route &route, connection::http::IHttpResponder &responder)
        -> boost::asio::awaitable<void>;
    //! Writes \a answer, whose bytes are \a held, to its caller.
    auto send(Answer answer, process::memory::HeldBytes held,
              connection::http::IHttpResponder &responder) -> boost::asio::awaitable<void>;
    auto submit(const Exchange &exchange, const connection::http::Request &request,
                const version::routing::Route &route, HandlePtr handle)
        -> boost::asio::awaitable<Answer>;
    auto repeatsUnowned(const Exchange &exchange,
                        const version::batch::Submission &submission) const
        -> boost::asio::awaitable<std::optional<bool>>;
    auto noteKept(const Exchange &exchange, const version::journal::AppendResult &result) const
        -> void;
    auto refuse(const Exchange &exchange, const request::call::Refusal &refusal) const -> Answer;
    auto noteAnswer(const Exchange &exchange, std::uint32_t status, std::string_view outcome,
                    std::string_view server = {}, std::uint32_t attempts = 0) const -> void;

    CallServiceParts m_parts;
    BatchCalls m_batchCalls;
    process::metrics::Counter &m_answered;
    process::metrics::Counter &m_refused;
    process::metrics::Distribution &m_seconds;
};

} // namespace nutmegplank::app::node
