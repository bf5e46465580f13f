#include <thread>

#include <gtest/gtest.h>

#include "fakes.h"
#include "load/receivedsamples.h"

using namespace nutmegplank;
using namespace nutmegplank::request::step;
namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr auto GROUP_JSON =
    "{\"group\": \"g\", \"prompt\": \"p\", \"samples\": 12, \"max_tokens\": 4, "
    "\"seed\": 1}";
constexpr auto MAX_PULLS = 200;

//! A response with its parsed body.
struct ParsedResponse
{
    std::uint32_t status = 0;
    json::object body;

    auto code() const -> std::string
    {
        return body.at("error").as_object().at("code").as_string().c_str();
    }
};

//! A service with fake dependencies, run by two threads.
class StepServiceTest : public testing::Test
{
protected:
    auto SetUp() -> void override
    {
        auto policy = StepPolicy {};
        policy.hedging = false;
        m_service = makeStepService(m_context, m_runner, m_log, m_metrics, policy);
        for (auto &worker : m_workers)
            worker = std::thread([this] { m_context.run(); });
    }
    auto TearDown() -> void override
    {
        m_context.stop();
        for (auto &worker : m_workers)
            worker.join();
    }

    auto sendRequest(const std::string &method, const std::string &target,
                     const std::string &body = "") -> ParsedResponse
    {
        auto request = connection::http::Request {};
        request.method = method;
        request.target = target;
        request.body = body;
        auto responder = tests::FakeResponder();
        const auto caller = StepCaller { "shop", "key-1" };
        const auto run = [&]() { return m_service->handle(request, caller, responder); };
        asio::co_spawn(m_context, run, asio::use_future).get();
        return ParsedResponse { responder.sentResponse.status,
                                json::parse(responder.sentResponse.body).as_object() };
    }
    auto open(std::uint64_t epoch, const std::string &extra = "") -> ParsedResponse
    {
        return sendRequest("POST", "/v1/steps",
                           base::concat("{\"step\": \"s\", \"epoch\": ", epoch,
                                        ", \"service\": \"engine\", \"max_staleness\": 2, "
                                        "\"trainer_version\": 7, \"groups\": [",
                                        GROUP_JSON, "]", extra, "}"));
    }
    auto pull(std::uint64_t epoch, const std::vector<std::string> &acknowledge = {},
              std::uint64_t version = 7, std::uint32_t waitMs = 200) -> ParsedResponse
    {
        return sendRequest(
            "POST", "/v1/steps/s/pull",
            base::concat("{\"epoch\": ", epoch, ", \"trainer_version\": ", version,
                         ", \"acknowledge\": ", json::serialize(json::value_from(acknowledge)),
                         ", \"max\": 5, \"wait_ms\": ", waitMs, "}"));
    }
    //! Pulls and acknowledges until the step is complete, moved or refused.
    auto pullAll(std::uint64_t epoch) -> ParsedResponse
    {
        auto acknowledge = std::vector<std::string>();
        auto response = ParsedResponse {};
        for (auto round = 0; round < MAX_PULLS; ++round) {
            response = pull(epoch, acknowledge);
            if (response.status != 200 || response.body.at("complete").as_bool()
                || response.body.contains("moved"))
                return response;
            acknowledge.clear();
            for (const auto &entry : response.body.at("samples").as_array()) {
                const auto sample = load::readSample(entry);
                m_receivedSamples.take(*sample, 7, 2);
                acknowledge.push_back(sample->slot);
            }
        }
        return response;
    }

    asio::io_context m_context;
    asio::executor_work_guard<asio::io_context::executor_type> m_workGuard =
        asio::make_work_guard(m_context);
    tests::FakeRunner m_runner;
    tests::FakeLog m_log;
    process::metrics::Registry m_metrics;
    std::unique_ptr<IStepService> m_service;
    std::array<std::thread, 2> m_workers;
    load::ReceivedSamples m_receivedSamples = load::ReceivedSamples([] {
        auto expected = std::map<std::string, load::ExpectedSlot>();
        for (auto index = 0U; index < 12; ++index)
            expected[base::concat("g/", index)] = load::ExpectedSlot { "p", 1 + index, 4 };
        return expected;
    }());
};

} // namespace

TEST_F(StepServiceTest, Step_Service_FillsAllSlotsDespiteRefusalsAndContradictoryStreams)
{
    m_runner.refuseEvery = 3;
    m_runner.contradictEvery = 4;
    ASSERT_EQ(open(1).status, 201U);
    EXPECT_TRUE(pullAll(1).body.at("complete").as_bool());
    EXPECT_EQ(m_receivedSamples.counts().delivered, 12U);
    EXPECT_EQ(m_receivedSamples.counts().mislabelled, 0U);
    EXPECT_EQ(m_receivedSamples.counts().duplicated, 0U);
    EXPECT_NE(m_metrics.render().find("reason=\"contradictory\""), std::string::npos);
    EXPECT_EQ(sendRequest("DELETE", "/v1/steps/s?epoch=1").status, 200U);
    EXPECT_EQ(m_service->openSteps(), 0U);
}

TEST_F(StepServiceTest, Step_Service_RefusesOldEpochsAndChangedContent)
{
    ASSERT_EQ(open(2).status, 201U);
    EXPECT_EQ(open(1).code(), "stale_epoch");
    EXPECT_EQ(pull(1).code(), "stale_epoch");
    EXPECT_EQ(pull(3).code(), "unknown_epoch");
    EXPECT_EQ(open(3, ", \"scoring\": \"scorer\"").code(), "step_differs");
    EXPECT_EQ(sendRequest("DELETE", "/v1/steps/s?epoch=1").code(), "stale_epoch");
    EXPECT_EQ(open(3).status, 201U);
    EXPECT_TRUE(pullAll(3).body.at("complete").as_bool());
}

TEST_F(StepServiceTest, Step_Service_DiscardsSamplesThatBecameTooOld)
{
    ASSERT_EQ(open(1).status, 201U);
    while (m_runner.runCount < 12)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    m_runner.weightVersion = 10;
    const auto published = sendRequest(
        "POST", "/v1/weights", "{\"model\": \"engine\", \"version\": 10, \"source\": \"w\"}");
    ASSERT_EQ(published.status, 200U);
    const auto response = pull(1, {}, 7, 2000);
    ASSERT_FALSE(response.body.at("samples").as_array().empty());
    for (const auto &entry : response.body.at("samples").as_array())
        EXPECT_EQ(load::readSample(entry)->ranges.front().weightVersion, 10U);
    const auto older = sendRequest("POST", "/v1/weights",
                                   "{\"model\": \"engine\", \"version\": 9, \"source\": \"w\"}");
    EXPECT_EQ(older.code(), "stale_version");
}

TEST_F(StepServiceTest, Step_Service_ClosesStepsOfAWithdrawnKey)
{
    m_runner.hangUntilCancelled = true;
    ASSERT_EQ(open(1).status, 201U);
    auto waiting = std::thread([this] {
        const auto refused = pull(1, {}, 7, 5000);
        EXPECT_EQ(refused.status, 401U);
        EXPECT_EQ(refused.code(), "key_withdrawn");
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    m_service->closeStepsOfKey("key-2");
    m_service->closeStepsOfKey("key-1");
    waiting.join();
    while (m_runner.cancelledCount < 12)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    EXPECT_EQ(m_service->openSteps(), 0U);
}

TEST_F(StepServiceTest, Step_Service_DeliversFinishedSamplesBeforeItMovesAStep)
{
    ASSERT_EQ(open(1).status, 201U);
    m_service->drain();
    EXPECT_TRUE(pullAll(1).body.at("moved").as_bool());
    EXPECT_EQ(m_receivedSamples.counts().delivered, m_runner.runCount);
    EXPECT_EQ(m_service->openSteps(), 0U);
    EXPECT_EQ(open(2).code(), "leaving");
}

// A scoring call whose response is lost may have run, so the same sample must not be scored again:
// its slot is generated anew, which makes the 13th run and the 13th scoring call.
TEST_F(StepServiceTest, Step_Service_ScoresEachSampleAtMostOnce)
{
    m_runner.loseNextScoring = true;
    ASSERT_EQ(open(1, ", \"scoring\": \"scorer\"").status, 201U);
    EXPECT_TRUE(pullAll(1).body.at("complete").as_bool());
    EXPECT_EQ(m_runner.runCount, 13U);
    EXPECT_EQ(m_runner.scoringCount, 13U);
    EXPECT_EQ(m_receivedSamples.counts().delivered, 12U);
}
