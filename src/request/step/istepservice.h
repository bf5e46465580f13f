#pragma once

#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "connection/http/ihttpresponder.h"
#include "process/metrics/metrics.h"
#include "request/execution/irequestrunner.h"
#include "version/state/iplatformlog.h"

//! Training steps: a trainer opens a step with groups of prompts, pulls the generated samples and
//! acknowledges them. See docs/API.md.
namespace nutmegplank::request::step {

//! An authenticated caller, as identified by admission.
struct StepCaller
{
    std::string workspace;
    std::string keyId;
};

//! Scheduling limits of steps. The baseline for comparisons switches off hedging and longestFirst.
struct StepPolicy
{
    bool hedging = true;      //!< Run a slow generation a second time near the end of a step.
    bool longestFirst = true; //!< By maxTokens; otherwise in the order of the trainer's groups.
    std::uint32_t maxConcurrency = 256; //!< Concurrent generations of one step.
    //! Hedges per step, in percent of its slots; at least one.
    std::uint32_t hedgeBudgetPercent = 5;
    double hedgeDelayFactor = 2.0; //!< Hedge after this multiple of the expected generation time.
    //! Finished samples plus space reserved for running generations.
    std::uint64_t maxBufferBytes = 8ULL * 1024 * 1024;
    //! Soft limit per pull: the sample that crosses it is still delivered.
    std::uint64_t maxPullBytes = 2ULL * 1024 * 1024;
    //! Deadline of one generation, and of one scoring call.
    base::Duration generationTimeout = std::chrono::minutes(5);
    //! Without a pull for this long, a step starts no more generations.
    base::Duration pauseAfterIdle = std::chrono::seconds(10);
    //! Without a pull for this long, a step is closed.
    base::Duration closeAfterIdle = std::chrono::seconds(60);
};

class IStepService
{
public:
    virtual ~IStepService() = default;

    //! Serves one request to /v1/steps or /v1/weights and sends the response through \a responder.
    virtual auto handle(connection::http::Request request, StepCaller caller,
                        connection::http::IHttpResponder &responder)
        -> boost::asio::awaitable<void> = 0;
    //! Closes all steps that were opened with the withdrawn API key \a keyId.
    virtual auto closeStepsOfKey(const std::string &keyId) -> void = 0;
    //! Begins a graceful shutdown: refuses new steps and starts no more generations. An open step
    //! stays until it is closed, or until nothing runs, all finished samples are acknowledged and a
    //! pull response has told the trainer to move ("moved": true).
    virtual auto drain() -> void = 0;
    //! Number of steps that are not closed; a graceful shutdown waits until it is 0.
    virtual auto openSteps() const -> std::size_t = 0;
};

//! All references must outlive the service.
auto makeStepService(boost::asio::io_context &context, execution::IRequestRunner &runner,
                     version::state::IPlatformLog &log, process::metrics::Registry &metrics,
                     StepPolicy policy = {}) -> std::unique_ptr<IStepService>;

} // namespace nutmegplank::request::step
