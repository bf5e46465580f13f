#include <thread>

#include <gtest/gtest.h>

#include "connection/http/httpserver.h"
#include "fakes.h"
#include "load/loadrun.h"
#include "process/clock/clock.h"

using namespace nutmegplank;
using namespace nutmegplank::request::step;
namespace asio = boost::asio;
namespace http = connection::http;

namespace {

constexpr auto RUN_TIMEOUT = base::Duration(std::chrono::seconds(30));

//! A gateway that serves only steps and /v1/address. Its destructor closes its connections.
class MinimalGateway
{
public:
    MinimalGateway(asio::io_context &context, tests::FakeLog &log,
                   std::vector<std::string> &addresses)
        : m_service(makeStepService(context, runner, log, metrics))
        , m_addresses(addresses)
        , m_server(std::make_unique<http::HttpServer>(
              context, http::ServerLimits(),
              [this](http::Request request, http::IHttpResponder &responder) {
                  return serve(std::move(request), responder);
              }))
    {
        address = base::concat("127.0.0.1:", *m_server->listen("127.0.0.1", 0));
    }

    auto drain() -> void { m_service->drain(); }
    auto openSteps() const -> std::size_t { return m_service->openSteps(); }
    //! Aborts all connections without a response from now on, as after a crash.
    auto crash() -> void { m_crashed = true; }

    tests::FakeRunner runner;
    process::metrics::Registry metrics;
    std::string address;

private:
    auto serve(http::Request request, http::IHttpResponder &responder) -> asio::awaitable<void>
    {
        if (m_crashed) {
            responder.abort();
            co_return;
        }
        if (request.target == "/v1/address") {
            auto list = boost::json::array();
            for (const auto &entry : m_addresses)
                list.push_back(boost::json::object { { "address", entry }, { "zone", "a" } });
            auto body = boost::json::object { { "addresses", list }, { "keep_ms", 100 } };
            auto response = http::jsonResponse(200, boost::json::serialize(body));
            (void)co_await responder.respond(std::move(response));
            co_return;
        }
        auto caller = StepCaller { "shop", "key-1" };
        co_await m_service->handle(std::move(request), std::move(caller), responder);
        if (m_crashed)
            responder.abort();
    }

    std::unique_ptr<IStepService> m_service;
    std::vector<std::string> &m_addresses;
    std::unique_ptr<http::HttpServer> m_server;
    std::atomic<bool> m_crashed { false };
};

//! Two gateways and a load client with one trainer that publishes weights, run by two threads.
class TrainerTest : public testing::Test
{
protected:
    auto SetUp() -> void override
    {
        for (auto &worker : m_workers)
            worker = std::thread([this] { m_context.run(); });
        m_loadRun = std::make_unique<load::LoadRun>(
            m_context, std::vector { m_first.address, m_second.address }, 3);
        auto plan = load::TrainerPlan {};
        plan.name = "t";
        plan.service = "engine";
        plan.steps = 4;
        plan.groups = 16;
        plan.samplesPerGroup = 16;
        plan.maxTokens = 4;
        plan.maxStaleness = 2;
        plan.trainUsPerSample = 200;
        plan.weightsEveryMs = 10;
        plan.firstVersion = 8;
        m_loadRun->addTrainer(plan);
        m_first.runner.refuseEvery = m_second.runner.refuseEvery = 7;
        m_first.runner.contradictEvery = m_second.runner.contradictEvery = 11;
    }
    auto TearDown() -> void override
    {
        m_context.stop();
        for (auto &worker : m_workers)
            worker.join();
    }

    //! Runs the load; calls \a injectFault after 300 generations, while steps are in progress.
    auto runWith(const std::function<void()> &injectFault) -> load::TrainerCounts
    {
        auto finishedPromise = std::promise<void>();
        m_loadRun->start(process::clock::now() + RUN_TIMEOUT,
                         [&finishedPromise] { finishedPromise.set_value(); });
        while (m_first.runner.runCount + m_second.runner.runCount < 300)
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        injectFault();
        auto finished = finishedPromise.get_future();
        // Both engines switch to the published weights.
        while (finished.wait_for(std::chrono::milliseconds(5)) != std::future_status::ready) {
            const auto state = m_log.state();
            const auto found = state->weights.find("engine");
            if (found != state->weights.end())
                m_first.runner.weightVersion = m_second.runner.weightVersion =
                    found->second.version;
        }
        return m_loadRun->trainerSums();
    }
    auto expectAllDeliveredOnce(const load::TrainerCounts &counts) -> void
    {
        EXPECT_EQ(counts.stepsCompleted, 4U);
        EXPECT_EQ(counts.samples.delivered, counts.samplesRequested);
        EXPECT_EQ(counts.samples.duplicated, 0U);
        EXPECT_EQ(counts.samples.mislabelled, 0U);
        EXPECT_EQ(counts.samples.tooOld, 0U);
        EXPECT_GT(counts.weightsPublished, 0U);
    }

    asio::io_context m_context;
    asio::executor_work_guard<asio::io_context::executor_type> m_workGuard =
        asio::make_work_guard(m_context);
    tests::FakeLog m_log;
    std::vector<std::string> m_addresses;
    MinimalGateway m_first { m_context, m_log, m_addresses };
    MinimalGateway m_second { m_context, m_log, m_addresses };
    std::unique_ptr<load::LoadRun> m_loadRun;
    std::array<std::thread, 2> m_workers;
};

} // namespace

TEST_F(TrainerTest, Step_Trainer_GetsEachSampleOnceWhenItsGatewayCrashes)
{
    const auto counts = runWith([this] {
        auto &busy = m_first.runner.runCount > m_second.runner.runCount ? m_first : m_second;
        busy.crash();
    });
    expectAllDeliveredOnce(counts);
    EXPECT_GT(counts.reopened, 0U);
}

TEST_F(TrainerTest, Step_Trainer_MovesToAnotherGatewayWhenItsGatewayDrains)
{
    const auto counts = runWith([this] {
        auto &busy = m_first.runner.runCount > m_second.runner.runCount ? m_first : m_second;
        busy.drain();
    });
    expectAllDeliveredOnce(counts);
    EXPECT_GT(counts.reopened, 0U);
}
