#pragma once

#include <map>
#include <mutex>
#include <tuple>

#include "request/step/internal/stepsession.h"

namespace nutmegplank::request::step {

//! Identifies a step. Step names are scoped by workspace, so workspaces can't access each other's
//! steps.
struct StepId
{
    std::string workspace;
    std::string step;

    auto operator<(const StepId &other) const -> bool
    {
        return std::tie(workspace, step) < std::tie(other.workspace, other.step);
    }
};

//! Routes each HTTP request to the session of its step.
class StepService : public IStepService
{
public:
    StepService(boost::asio::io_context &context, execution::IRequestRunner &runner,
                version::state::IPlatformLog &log, process::metrics::Registry &metrics,
                StepPolicy policy);
    ~StepService() override;

    auto handle(connection::http::Request request, StepCaller caller,
                connection::http::IHttpResponder &responder)
        -> boost::asio::awaitable<void> override;
    auto closeStepsOfKey(const std::string &keyId) -> void override;
    auto drain() -> void override;
    auto openSteps() const -> std::size_t override;

private:
    using Response = connection::http::Response;
    using SessionPtr = std::shared_ptr<StepSession>;

    auto dispatch(connection::http::Request request, StepCaller caller)
        -> boost::asio::awaitable<Response>;
    auto open(std::string body, StepCaller caller) -> boost::asio::awaitable<Response>;
    auto pull(std::string step, std::string body, StepCaller caller)
        -> boost::asio::awaitable<Response>;
    auto closeStep(std::string step, std::string epoch, StepCaller caller)
        -> boost::asio::awaitable<Response>;
    auto publishWeights(std::string body) -> boost::asio::awaitable<Response>;
    auto checkServices(const StepSpec &spec) const -> std::optional<execution::Refusal>;
    auto findSession(const StepId &stepId) -> SessionPtr;
    auto removeClosedSessions() -> void;
    auto sessions() const -> std::vector<SessionPtr>;

    StepMetrics m_metrics;
    SessionResources m_resources;
    mutable std::mutex m_mutex;
    std::map<StepId, SessionPtr> m_sessions;
    bool m_draining = false;
};

} // namespace nutmegplank::request::step
