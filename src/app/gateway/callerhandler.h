#pragma once

#include "app/gateway/callermetrics.h"
#include "app/gateway/forwarder.h"
#include "connection/http/ihttpresponder.h"
#include "process/membership/imembership.h"
#include "request/admission/admission.h"
#include "request/freshness/freshness.h"
#include "request/step/istepservice.h"

namespace nutmegplank::app::gateway {

//! What the handler uses; all must outlive it.
struct HandlerDependencies
{
    version::state::IPlatformLog &log;
    process::membership::IMembership &membership;
    process::metrics::Registry &metrics;
    request::freshness::FreshnessGate &freshness;
    CallerMetrics &callerMetrics;
    Forwarder &forwarder;
    request::step::IStepService *steps = nullptr; //!< Null: steps are refused.
    base::Duration addressKeep {};
};

//! The first thing that sees a caller's request: own pages, admission, then forwarding or steps.
class CallerHandler
{
public:
    explicit CallerHandler(HandlerDependencies dependencies);

    auto handle(connection::http::Request request, connection::http::IHttpResponder &responder)
        -> boost::asio::awaitable<void>;

    //! From now on this gateway is not in its own address answers.
    auto leave() -> void { m_leaving = true; }

private:
    auto ownPage(const connection::http::Request &request) const
        -> std::optional<connection::http::Response>;
    auto addressPage(const connection::http::Request &request) const -> connection::http::Response;
    auto serve(request::admission::AdmittedRequest admitted, std::string requestId,
               std::string deadlineText, connection::http::IHttpResponder &responder)
        -> boost::asio::awaitable<void>;

    HandlerDependencies m_dependencies;
    std::atomic<bool> m_leaving { false };
};

} // namespace nutmegplank::app::gateway
