#include <future>

#include "process/dispatch/tests/dispatchertest.h"
#include "standins/common/tokens.h"

using namespace nutmegplank;
using namespace nutmegplank::process::dispatch;

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

TEST_F(DispatcherTest, Dispatch_IsolatedRequest_RunsAloneEvenUnderSteadyLoad)
{
    warmUp();
    constexpr auto REQUESTS = 30;
    for (auto number = 0; number < REQUESTS; ++number)
        submit(completion(base::concat("load", number), "p", 40));
    auto alone = completion("alone", "CRASH", 5);
    alone.set_isolate(true);
    alone.set_priority(wire::PRIORITY_STRAGGLER);
    submit(alone);
    const auto answer = outcome("alone").failed();
    EXPECT_TRUE(answer.server_died());
    EXPECT_EQ(answer.died_beside(), 0U);
    for (auto number = 0; number < REQUESTS; ++number)
        EXPECT_TRUE(outcome(base::concat("load", number)).has_done());
}

TEST_F(DispatcherTest, Dispatch_DeadGateway_ItsWorkIsDropped)
{
    for (auto number = 0; number < 4; ++number)
        submit(completion(base::concat("long", number), "p", 2000));
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    m_membership.addDeadGateway("gateway");
    for (auto number = 0; number < 4; ++number)
        EXPECT_EQ(outcome(base::concat("long", number)).failed().code(), wire::FAILURE_CANCELLED);
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
