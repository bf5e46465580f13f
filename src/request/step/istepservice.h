#pragma once

#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "connection/http/ihttpresponder.h"
#include "process/metrics/metrics.h"
#include "request/execution/irequestrunner.h"
#include "version/state/iplatformlog.h"

//! Steps of trainers: groups of samples, pulled and acknowledged. See docs/API.md.
namespace nutmegplank::request::step {

//! The caller as admission has recognised it.
struct StepCaller
{
    std::string workspace;
    std::string keyId;
};

//! How steps are filled. The plain baseline has neither hedging nor an order by length.
struct StepPolicy
{
    bool hedging = true;             //!< A second run beside one of the last that takes long.
    bool longestFirst = true;        //!< Otherwise in the order of the trainer's list.
    std::uint32_t concurrency = 256; //!< Generations of a step that run together at most.
    std::uint32_t hedgePercent = 5;  //!< Second runs, in percent of a step's slots.
    double hedgeFactor = 2.0; //!< Times the usual time a generation takes before its second run.
    std::uint64_t bufferBytes =
        8ULL * 1024 * 1024; //!< Finished samples that wait, and room for running ones.
    std::uint64_t pullBytes = 2ULL * 1024 * 1024; //!< Text that one pull hands out, about.
    base::Duration generationTime = std::chrono::minutes(5); //!< Deadline of one generation.
    //! A step that nobody pulls for so long starts nothing more.
    base::Duration unattendedTime = std::chrono::seconds(10);
    base::Duration abandonTime = std::chrono::seconds(60); //!< A step that nobody pulls is closed.
};

class IStepService
{
public:
    virtual ~IStepService() = default;

    //! Serves one request under /v1/steps or /v1/weights.
    virtual auto handle(connection::http::Request request, StepCaller caller,
                        connection::http::IHttpResponder &responder)
        -> boost::asio::awaitable<void> = 0;
    //! Ends all steps that were opened with a withdrawn key.
    virtual auto cutKey(const std::string &keyId) -> void = 0;
    //! Begins the graceful shutdown: no new steps; open ones go on until closed or until all their
    //! finished samples are acknowledged and the trainer has been told to move ("moved": true in
    //! the pull's answer).
    virtual auto drain() -> void = 0;
    //! Steps that still hold this process.
    virtual auto openSteps() const -> std::size_t = 0;
};

//! All references must outlive the service.
auto makeStepService(boost::asio::io_context &context, execution::IRequestRunner &runner,
                     version::state::IPlatformLog &log, process::metrics::Registry &metrics,
                     StepPolicy policy = {}) -> std::unique_ptr<IStepService>;

} // namespace nutmegplank::request::step
