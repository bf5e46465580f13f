#include <future>
#include <thread>

#include <gtest/gtest.h>

#include "base/text.h"
#include "connection/http/httpserver.h"
#include "engine/engineserver.h"
#include "plain/plainserver.h"
#include "process/dispatch/dispatcher.h"
#include "process/dispatch/tests/fakes.h"
#include "standins/common/tokens.h"

using namespace nutmegplank;
using namespace nutmegplank::process::dispatch;
namespace asio = boost::asio;
namespace http = connection::http;

namespace {

constexpr auto PATIENCE = std::chrono::seconds(10);
constexpr auto WARM_UP = std::chrono::milliseconds(600);
constexpr auto COLD_LIMIT = 2U;

//! A dispatcher with fakes around it, before one engine and one plain service on a thread of
//! theirs.
class DispatcherTest : public testing::Test
{
protected:
    auto SetUp() -> void override
    {
        startServers();
        describeWorld();
        auto options = DispatcherOptions();
        options.handoverDelay = std::chrono::milliseconds(50);
        options.policy.probePeriod = std::chrono::milliseconds(50);
        options.policy.probeTimeout = std::chrono::milliseconds(300);
        options.policy.progressTime = std::chrono::seconds(1);
        auto dependencies = DispatcherDependencies { m_context,    process::clock::now, m_link,
                                                     m_membership, m_inventory,         m_log,
                                                     m_registry };
        m_dispatcher = std::make_shared<Dispatcher>(asio::make_strand(m_context), options,
                                                    std::move(dependencies));
        m_dispatcher->start();
        for (auto &worker : m_workers)
            worker = std::thread([this] { m_context.run(); });
    }
    auto TearDown() -> void override
    {
        m_context.stop();
        m_serverContext.stop();
        for (auto &worker : m_workers)
            worker.join();
        m_serverThread.join();
    }
    auto startServers() -> void
    {
        const auto now = process::clock::now();
        const auto cold = standins::ColdStartOptions { WARM_UP, COLD_LIMIT, {} };
        auto engineOptions = standins::EngineOptions();
        engineOptions.cold = cold;
        m_engine = std::make_unique<standins::EngineServer>(m_serverContext, engineOptions, now);
        m_engine->start();
        auto plainOptions = standins::PlainOptions();
        plainOptions.cold = cold;
        m_plain = std::make_unique<standins::PlainServer>(plainOptions, now);
        m_engineHttp = std::make_unique<http::HttpServer>(
            m_serverContext, http::ServerLimits(),
            [this](http::Request request, http::IHttpResponder &responder) {
                return m_engine->handle(std::move(request), responder);
            });
        m_plainHttp = std::make_unique<http::HttpServer>(
            m_serverContext, http::ServerLimits(),
            [this](http::Request request, http::IHttpResponder &responder) {
                return m_plain->handle(std::move(request), responder);
            });
        m_engineAddress = base::concat("127.0.0.1:", *m_engineHttp->listen("127.0.0.1", 0));
        m_plainAddress = base::concat("127.0.0.1:", *m_plainHttp->listen("127.0.0.1", 0));
        m_serverThread = std::thread([this] { m_serverContext.run(); });
    }
    auto describeWorld() -> void
    {
        auto engine = version::configuration::Service();
        engine.name = "engine";
        engine.kind = version::configuration::ServiceKind::Engine;
        engine.coldLimit = COLD_LIMIT;
        engine.warmUp = WARM_UP;
        auto plain = engine;
        plain.name = "plain";
        plain.kind = version::configuration::ServiceKind::Plain;
        m_configuration.services = { { "engine", engine }, { "plain", plain } };
        m_log.set(m_configuration);
        auto engineServer = process::inventory::BackendServer();
        engineServer.id = "engine-0";
        engineServer.service = "engine";
        engineServer.zone = "a";
        engineServer.address = m_engineAddress;
        auto plainServer = engineServer;
        plainServer.id = "plain-0";
        plainServer.service = "plain";
        plainServer.address = m_plainAddress;
        m_inventory.set({ engineServer, plainServer });
    }
    auto completion(const std::string &id, const std::string &prompt, int tokens) -> wire::Submit
    {
        auto submit = wire::Submit();
        submit.set_attempt_id(id);
        submit.set_request_id("request-" + id);
        submit.set_workspace("w");
        submit.set_service("engine");
        submit.set_shard("engine/0");
        submit.set_priority(wire::PRIORITY_ROLLOUT);
        submit.set_deadline_ms(8000);
        submit.set_method("POST");
        submit.set_target("/v1/completions?api_key=secret");
        submit.set_idempotent(true);
        auto *header = submit.add_headers();
        header->set_name("Authorization");
        header->set_value("Bearer secret");
        submit.set_body(base::concat("{\"prompt\":\"", prompt, "\",\"max_tokens\":", tokens,
                                     ",\"seed\":7,\"stream\":true}"));
        return submit;
    }
    auto order(const std::string &id) -> wire::Submit
    {
        auto submit = completion(id, "", 0);
        submit.set_service("plain");
        submit.set_shard("plain/0");
        submit.set_priority(wire::PRIORITY_ORDER);
        submit.set_target("/orders");
        submit.set_idempotent(false);
        submit.set_body(base::concat("{\"order\":\"", id, "\"}"));
        return submit;
    }
    auto submit(wire::Submit submit) -> void
    {
        auto envelope = wire::Envelope();
        envelope.set_reply_link("gateway");
        *envelope.mutable_submit() = std::move(submit);
        m_dispatcher->handle(std::move(envelope));
    }
    auto cancel(const std::string &id) -> void
    {
        auto envelope = wire::Envelope();
        envelope.set_reply_link("gateway");
        envelope.mutable_cancel()->set_attempt_id(id);
        m_dispatcher->handle(std::move(envelope));
    }
    auto outcome(const std::string &id) -> wire::Envelope
    {
        const auto found = m_link.outcomeOf(id, PATIENCE);
        EXPECT_TRUE(found.has_value()) << id;
        return found.value_or(wire::Envelope());
    }
    auto ask(const std::string &address, const std::string &method, const std::string &target,
             const std::string &body = "") -> boost::json::object
    {
        const auto request = http::Request { method, target, {}, body, "" };
        const auto answer =
            asio::co_spawn(m_context, http::fetch(address, request, PATIENCE), asio::use_future)
                .get();
        return answer.ok() ? boost::json::parse(answer->body).as_object() : boost::json::object();
    }
    //! Sends completions until the server has been warm for a while.
    auto warmUp() -> void
    {
        submit(completion("warm-up", "p", 1));
        outcome("warm-up");
        std::this_thread::sleep_for(WARM_UP * 3 / 2);
    }

    asio::io_context m_context;
    asio::io_context m_serverContext;
    FakeLink m_link;
    FakeMembership m_membership;
    FakeInventory m_inventory;
    FakeLog m_log;
    process::metrics::Registry m_registry;
    version::configuration::Configuration m_configuration;
    std::unique_ptr<standins::EngineServer> m_engine;
    std::unique_ptr<standins::PlainServer> m_plain;
    std::unique_ptr<http::HttpServer> m_engineHttp;
    std::unique_ptr<http::HttpServer> m_plainHttp;
    std::string m_engineAddress;
    std::string m_plainAddress;
    std::shared_ptr<Dispatcher> m_dispatcher;
    std::array<std::thread, 2> m_workers;
    std::thread m_serverThread;
};

} // namespace

TEST_F(DispatcherTest, Dispatch_Completion_GivesWholeAnswerWithItsVersionsAndNoKey)
{
    submit(completion("a", "prompt", 5));
    const auto answer = outcome("a");
    ASSERT_TRUE(answer.has_done()) << answer.failed().message();
    EXPECT_EQ(answer.done().generated_tokens(), 5U);
    ASSERT_EQ(answer.done().ranges_size(), 1);
    EXPECT_EQ(answer.done().ranges(0).weight_version(), 1U);
    EXPECT_NE(answer.done().body().find(standins::tokenAt("prompt", 7, 4, 1)), std::string::npos);
    const auto messages = m_link.messagesOf("a");
    ASSERT_EQ(messages.size(), 3U);
    EXPECT_TRUE(messages[0].has_accepted());
    EXPECT_TRUE(messages[1].has_started());
    EXPECT_EQ(ask(m_engineAddress, "GET", "/stats").at("keys_seen"), 0);
}

TEST_F(DispatcherTest, Dispatch_StreamedCompletion_ComesInChunksWithoutGap)
{
    auto request = completion("a", "prompt", 30);
    request.set_stream(true);
    submit(request);
    const auto answer = outcome("a");
    ASSERT_TRUE(answer.has_done()) << answer.failed().message();
    auto next = 0U;
    for (const auto &message : m_link.messagesOf("a")) {
        if (!message.has_chunk())
            continue;
        EXPECT_EQ(message.chunk().sequence(), next);
        ++next;
    }
    EXPECT_EQ(answer.done().chunk_count(), next);
    EXPECT_GT(next, 1U);
}

TEST_F(DispatcherTest, Dispatch_ColdServer_GetsNoMoreThanItBears)
{
    constexpr auto REQUESTS = 40;
    for (auto number = 0; number < REQUESTS; ++number)
        submit(completion(std::to_string(number), "prompt", 10));
    for (auto number = 0; number < REQUESTS; ++number)
        EXPECT_TRUE(outcome(std::to_string(number)).has_done());
    const auto stats = ask(m_engineAddress, "GET", "/stats");
    EXPECT_EQ(stats.at("restarts"), 0);
    EXPECT_LE(stats.at("max_running_cold").to_number<std::uint32_t>(), COLD_LIMIT);
}

TEST_F(DispatcherTest, Dispatch_KillerRequest_CountsAsDeathAndServerIsColdAgain)
{
    warmUp();
    submit(completion("innocent", "p", 400));
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    submit(completion("killer", "CRASH", 5));
    const auto killer = outcome("killer").failed();
    EXPECT_EQ(killer.code(), wire::FAILURE_SERVER_DIED);
    EXPECT_TRUE(killer.server_died());
    EXPECT_EQ(killer.ran(), wire::RAN_UNKNOWN);
    EXPECT_EQ(killer.died_beside(), 1U);
    const auto innocent = outcome("innocent").failed();
    EXPECT_TRUE(innocent.server_died());
    EXPECT_EQ(innocent.died_beside(), 1U);
    for (auto number = 0; number < 10; ++number)
        submit(completion(base::concat("after", number), "p", 5));
    for (auto number = 0; number < 10; ++number)
        EXPECT_TRUE(outcome(base::concat("after", number)).has_done());
    EXPECT_EQ(ask(m_engineAddress, "GET", "/stats").at("restarts"), 1);
}

TEST_F(DispatcherTest, Dispatch_CancelledWhileQueued_IsTrulyNotRun)
{
    for (auto number = 0; number < 8; ++number)
        submit(completion(base::concat("long", number), "p", 200));
    submit(completion("queued", "p", 5));
    cancel("queued");
    const auto answer = outcome("queued").failed();
    EXPECT_EQ(answer.code(), wire::FAILURE_CANCELLED);
    EXPECT_EQ(answer.ran(), wire::RAN_NOT_RUN);
    EXPECT_FALSE(
        ask(m_engineAddress, "GET", "/stats").at("requests").as_object().contains("queued"));
}

TEST_F(DispatcherTest, Dispatch_CancelledWhileRunning_EndsTheStreamAtTheEngine)
{
    submit(completion("first", "p", 5));
    outcome("first");
    submit(completion("running", "p", 2000));
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    cancel("running");
    const auto answer = outcome("running").failed();
    EXPECT_EQ(answer.code(), wire::FAILURE_CANCELLED);
    EXPECT_EQ(answer.ran(), wire::RAN_UNKNOWN);
    cancel("running");
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    EXPECT_EQ(ask(m_engineAddress, "GET", "/stats").at("running"), 0);
}

TEST_F(DispatcherTest, Dispatch_MislabelledAnswer_IsThrownAway)
{
    submit(completion("first", "p", 5));
    outcome("first");
    ask(m_engineAddress, "POST", "/control", R"({"mislabel": true})");
    submit(completion("a", "p", 5));
    EXPECT_EQ(outcome("a").failed().code(), wire::FAILURE_TRUNCATED);
    ask(m_engineAddress, "POST", "/control", R"({"mislabel": false, "cut_answers": 1})");
    submit(completion("b", "p", 5));
    EXPECT_EQ(outcome("b").failed().code(), wire::FAILURE_TRUNCATED);
}

TEST_F(DispatcherTest, Dispatch_OrderWithLostAnswer_RanOnceAndIsSaidToBeUnknown)
{
    submit(order("one"));
    EXPECT_TRUE(outcome("one").has_done());
    ask(m_plainAddress, "POST", "/control", R"({"drop_answers": 1})");
    submit(order("two"));
    const auto lost = outcome("two").failed();
    EXPECT_EQ(lost.ran(), wire::RAN_UNKNOWN);
    EXPECT_FALSE(lost.server_died());
    ask(m_plainAddress, "POST", "/control", R"({"busy": true})");
    submit(order("three"));
    const auto refused = outcome("three").failed();
    EXPECT_EQ(refused.code(), wire::FAILURE_SERVER_REFUSED);
    EXPECT_EQ(refused.ran(), wire::RAN_NOT_RUN);
    const auto stats = ask(m_plainAddress, "GET", "/stats");
    EXPECT_EQ(stats.at("orders").at("one"), 1);
    EXPECT_EQ(stats.at("orders").at("two"), 1);
    EXPECT_FALSE(stats.at("orders").as_object().contains("three"));
    EXPECT_EQ(stats.at("keys_seen"), 0);
}

TEST_F(DispatcherTest, Dispatch_FrozenServer_IsToldFromADeadOne)
{
    submit(completion("first", "p", 5));
    outcome("first");
    submit(completion("frozen", "p", 500));
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    ask(m_engineAddress, "POST", "/control", R"({"freeze": true})");
    const auto answer = outcome("frozen").failed();
    EXPECT_EQ(answer.code(), wire::FAILURE_SILENT);
    EXPECT_FALSE(answer.server_died());
    ask(m_engineAddress, "POST", "/control", R"({"freeze": false})");
    submit(completion("thawed", "p", 5));
    EXPECT_TRUE(outcome("thawed").has_done());
}

TEST_F(DispatcherTest, Dispatch_ZoneOut_QueuedWorkDoesNotRunThere)
{
    for (auto number = 0; number < 4; ++number)
        submit(completion(base::concat("long", number), "p", 100));
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    m_configuration.zones["a"] = { "a", "r", true };
    m_log.set(m_configuration);
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    const auto before = ask(m_engineAddress, "GET", "/stats").at("requests").as_object().size();
    submit(completion("late", "p", 5));
    EXPECT_EQ(outcome("late").failed().code(), wire::FAILURE_NO_SERVER);
    for (auto number = 0; number < 4; ++number)
        outcome(base::concat("long", number));
    const auto after = ask(m_engineAddress, "GET", "/stats").at("requests").as_object().size();
    EXPECT_EQ(after, before);
}

TEST_F(DispatcherTest, Dispatch_CutOff_FailsQueuedWorkAsNotRun)
{
    for (auto number = 0; number < 4; ++number)
        submit(completion(base::concat("long", number), "p", 150));
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    m_membership.hears = false;
    auto fenced = 0;
    auto done = 0;
    for (auto number = 0; number < 4; ++number) {
        const auto answer = outcome(base::concat("long", number));
        done += answer.has_done() ? 1 : 0;
        const auto isFenced = answer.failed().code() == wire::FAILURE_FENCED;
        fenced += isFenced && answer.failed().ran() == wire::RAN_NOT_RUN ? 1 : 0;
    }
    EXPECT_EQ(done, 2);
    EXPECT_EQ(fenced, 2);
}

TEST_F(DispatcherTest, Dispatch_GracefulShutdown_FinishesWhatRunsAndHandsOverTheRest)
{
    for (auto number = 0; number < 4; ++number)
        submit(completion(base::concat("long", number), "p", 100));
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    auto drained = std::promise<void>();
    m_dispatcher->drain([&drained] { drained.set_value(); });
    EXPECT_EQ(drained.get_future().wait_for(PATIENCE), std::future_status::ready);
    auto done = 0;
    auto movedOn = 0;
    for (auto number = 0; number < 4; ++number) {
        const auto answer = outcome(base::concat("long", number));
        done += answer.has_done() ? 1 : 0;
        movedOn += answer.failed().code() == wire::FAILURE_NOT_OWNER ? 1 : 0;
    }
    EXPECT_EQ(done, 2);
    EXPECT_EQ(movedOn, 2);
}
