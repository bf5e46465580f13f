#pragma once

#include "app/gateway/callermetrics.h"
#include "connection/http/ihttpresponder.h"
#include "request/admission/admission.h"
#include "request/execution/irequestrunner.h"
#include "request/execution/keyedruns.h"
#include "request/idempotency/idempotencyservice.h"
#include "version/state/iplatformlog.h"

namespace nutmegplank::app::gateway {

//! Runs admitted requests and passes their answers on, whole or as they come.
class Forwarder
{
public:
    //! All references must outlive the forwarder.
    Forwarder(request::execution::IRequestRunner &runner, request::execution::KeyedRuns &runs,
              version::state::IPlatformLog &log, CallerMetrics &metrics,
              request::idempotency::IdempotencyService &idempotency);

    auto forward(request::admission::AdmittedRequest admitted, std::string requestId,
                 std::string deadlineText, connection::http::IHttpResponder &responder)
        -> boost::asio::awaitable<void>;

private:
    auto run(const request::admission::AdmittedRequest &admitted,
             request::execution::RequestSpec spec, connection::http::IHttpResponder &responder)
        -> boost::asio::awaitable<request::execution::RequestOutcome>;
    //! Runs a request with an idempotency key, or answers from the record of an earlier one.
    auto runOnce(const request::admission::AdmittedRequest &admitted,
                 request::execution::RequestSpec spec, std::string key,
                 connection::http::IHttpResponder &responder)
        -> boost::asio::awaitable<request::execution::RequestOutcome>;
    auto answer(request::execution::RequestOutcome outcome, std::string requestId,
                connection::http::IHttpResponder &responder) -> boost::asio::awaitable<void>;
    auto refuse(request::execution::Refusal refusal, std::string requestId,
                connection::http::IHttpResponder &responder) -> boost::asio::awaitable<void>;

    request::execution::IRequestRunner &m_runner;
    request::execution::KeyedRuns &m_runs;
    version::state::IPlatformLog &m_log;
    CallerMetrics &m_metrics;
    request::idempotency::IdempotencyService &m_idempotency;
};

} // namespace nutmegplank::app::gateway
