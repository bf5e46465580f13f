#include <thread>

#include <gtest/gtest.h>

#include "fakes.h"
#include "load/receivedsamples.h"

using namespace nutmegplank;
using namespace nutmegplank::request::step;
namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr auto GROUP = "{\"group\": \"g\", \"prompt\": \"p\", \"samples\": 12, \"max_tokens\": 4, "
                       "\"seed\": 1}";
constexpr auto MOST_PULLS = 200;

//! An answer with its body parsed.
struct Answer
{
    std::uint32_t status = 0;
    json::object body;

    auto code() const -> std::string
    {
        return body.at("error").as_object().at("code").as_string().c_str();
    }
};

//! A service over fakes, run by two threads.
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

    auto ask(const std::string &method, const std::string &target, const std::string &body = "")
        -> Answer
    {
        auto request = connection::http::Request {};
        request.method = method;
        request.target = target;
        request.body = body;
        auto responder = tests::FakeResponder();
        const auto caller = StepCaller { "shop", "key-1" };
        const auto run = [&]() { return m_service->handle(request, caller, responder); };
        asio::co_spawn(m_context, run, asio::use_future).get();
        return Answer { responder.answer.status, json::parse(responder.answer.body).as_object() };
    }
    auto open(std::uint64_t epoch, const std::string &extra = "") -> Answer
    {
        return ask("POST", "/v1/steps",
                   base::concat("{\"step\": \"s\", \"epoch\": ", epoch,
                                ", \"service\": \"engine\", \"max_staleness\": 2, "
                                "\"trainer_version\": 7, \"groups\": [",
                                GROUP, "]", extra, "}"));
    }
    auto pull(std::uint64_t epoch, const std::vector<std::string> &acknowledge = {},
              std::uint64_t version = 7, std::uint32_t waitMs = 200) -> Answer
    {
        return ask(
            "POST", "/v1/steps/s/pull",
            base::concat("{\"epoch\": ", epoch, ", \"trainer_version\": ", version,
                         ", \"acknowledge\": ", json::serialize(json::value_from(acknowledge)),
                         ", \"max\": 5, \"wait_ms\": ", waitMs, "}"));
    }
    //! Pulls and acknowledges until the step is complete or moved.
    auto pullAll(std::uint64_t epoch) -> Answer
    {
        auto acknowledge = std::vector<std::string>();
        auto answer = Answer {};
        for (auto round = 0; round < MOST_PULLS; ++round) {
            answer = pull(epoch, acknowledge);
            if (answer.status != 200 || answer.body.at("complete").as_bool()
                || answer.body.contains("moved"))
                return answer;
            acknowledge.clear();
            for (const auto &entry : answer.body.at("samples").as_array()) {
                const auto sample = load::readSample(entry);
                m_received.take(*sample, 7, 2);
                acknowledge.push_back(sample->slot);
            }
        }
        return answer;
    }

    asio::io_context m_context;
    asio::executor_work_guard<asio::io_context::executor_type> m_guard =
        asio::make_work_guard(m_context);
    tests::FakeRunner m_runner;
    tests::FakeLog m_log;
    process::metrics::Registry m_metrics;
    std::unique_ptr<IStepService> m_service;
    std::array<std::thread, 2> m_workers;
    load::ReceivedSamples m_received = load::ReceivedSamples([] {
        auto expected = std::map<std::string, load::ExpectedSlot>();
        for (auto index = 0U; index < 12; ++index)
            expected[base::concat("g/", index)] = load::ExpectedSlot { "p", 1 + index, 4 };
        return expected;
    }());
};

} // namespace

TEST_F(StepServiceTest, Step_ServiceFillsAllSlotsDespiteRefusalsAndContradictions)
{
    m_runner.refuseEvery = 3;
    m_runner.contradictEvery = 4;
    ASSERT_EQ(open(1).status, 201U);
    EXPECT_TRUE(pullAll(1).body.at("complete").as_bool());
    EXPECT_EQ(m_received.counts().delivered, 12U);
    EXPECT_EQ(m_received.counts().mislabelled, 0U);
    EXPECT_EQ(m_received.counts().duplicated, 0U);
    EXPECT_NE(m_metrics.render().find("reason=\"contradictory\""), std::string::npos);
    EXPECT_EQ(ask("DELETE", "/v1/steps/s?epoch=1").status, 200U);
    EXPECT_EQ(m_service->openSteps(), 0U);
}

TEST_F(StepServiceTest, Step_ServiceRefusesOldEpochsAndOtherContent)
{
    ASSERT_EQ(open(2).status, 201U);
    EXPECT_EQ(open(1).code(), "stale_epoch");
    EXPECT_EQ(pull(1).code(), "stale_epoch");
    EXPECT_EQ(pull(3).code(), "unknown_epoch");
    EXPECT_EQ(open(3, ", \"scoring\": \"scorer\"").code(), "step_differs");
    EXPECT_EQ(ask("DELETE", "/v1/steps/s?epoch=1").code(), "stale_epoch");
    EXPECT_EQ(open(3).status, 201U);
    EXPECT_TRUE(pullAll(3).body.at("complete").as_bool());
}

TEST_F(StepServiceTest, Step_ServiceThrowsAwayWhatHasGrownTooOld)
{
    ASSERT_EQ(open(1).status, 201U);
    while (m_runner.runs < 12)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    m_runner.weightVersion = 10;
    const auto published =
        ask("POST", "/v1/weights", "{\"model\": \"engine\", \"version\": 10, \"source\": \"w\"}");
    ASSERT_EQ(published.status, 200U);
    const auto answer = pull(1, {}, 7, 2000);
    ASSERT_FALSE(answer.body.at("samples").as_array().empty());
    for (const auto &entry : answer.body.at("samples").as_array())
        EXPECT_EQ(load::readSample(entry)->ranges.front().weightVersion, 10U);
    const auto older =
        ask("POST", "/v1/weights", "{\"model\": \"engine\", \"version\": 9, \"source\": \"w\"}");
    EXPECT_EQ(older.code(), "stale_version");
}

TEST_F(StepServiceTest, Step_ServiceCutsStepsOfAWithdrawnKey)
{
    m_runner.hang = true;
    ASSERT_EQ(open(1).status, 201U);
    auto waiting = std::thread([this] {
        const auto refused = pull(1, {}, 7, 5000);
        EXPECT_EQ(refused.status, 401U);
        EXPECT_EQ(refused.code(), "key_withdrawn");
    });
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    m_service->cutKey("key-2");
    m_service->cutKey("key-1");
    waiting.join();
    while (m_runner.cancelled < 12)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    EXPECT_EQ(m_service->openSteps(), 0U);
}

TEST_F(StepServiceTest, Step_ServiceHandsOutWhatIsFinishedBeforeItMovesAStep)
{
    ASSERT_EQ(open(1).status, 201U);
    m_service->drain();
    EXPECT_TRUE(pullAll(1).body.at("moved").as_bool());
    EXPECT_EQ(m_received.counts().delivered, m_runner.runs);
    EXPECT_EQ(m_service->openSteps(), 0U);
    EXPECT_EQ(open(2).code(), "leaving");
}

TEST_F(StepServiceTest, Step_ServiceScoresEachSampleAtMostOnce)
{
    m_runner.scoringLost = true;
    ASSERT_EQ(open(1, ", \"scoring\": \"scorer\"").status, 201U);
    EXPECT_TRUE(pullAll(1).body.at("complete").as_bool());
    EXPECT_EQ(m_runner.runs, 13U);
    EXPECT_EQ(m_runner.scorings, 13U);
    EXPECT_EQ(m_received.counts().delivered, 12U);
}
