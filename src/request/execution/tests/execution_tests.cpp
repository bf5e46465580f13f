#include <thread>

#include <boost/asio.hpp>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "base/hash.h"
#include "process/clock/clock.h"
#include "request/execution/keyedruns.h"
#include "request/execution/requestrunner.h"
#include "request/refusal/refusal.h"

using namespace nutmegplank;
using namespace nutmegplank::request::execution;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

constexpr auto DISPATCHER = "dispatcher-1";
constexpr auto SERVICE = "desk";

class FakeMembership : public process::membership::IMembership
{
public:
    using View = process::membership::MemberView;
    FakeMembership()
    {
        auto member = process::membership::Member();
        member.id = DISPATCHER;
        member.role = process::membership::Role::Dispatcher;
        member.linkAddress = "link";
        auto initialView = View();
        initialView.members.push_back(member);
        m_view = std::make_shared<const View>(initialView);
    }
    auto view() const -> process::membership::MemberViewPtr override { return m_view; }
    auto self() const -> process::membership::Member override { return {}; }
    auto setProgress(process::membership::OwnProgress) -> void override { }
    auto leave() -> void override { }
    auto hearsMajority(base::TimePoint, base::Duration) const -> bool override { return true; }
    auto confirmsConfiguration(std::uint64_t, base::TimePoint, base::Duration) const
        -> bool override
    {
        return true;
    }
    auto onChange(std::function<void(process::membership::MemberViewPtr)>) -> void override { }
    auto traffic() const -> process::membership::GossipTraffic override { return {}; }

private:
    process::membership::MemberViewPtr m_view;
};

class FakeLog : public version::state::IPlatformLog
{
public:
    FakeLog()
    {
        auto configuration = std::make_shared<version::configuration::Configuration>();
        configuration->services[SERVICE].name = SERVICE;
        auto state = std::make_shared<version::state::LogState>();
        state->configuration = configuration;
        m_state = state;
    }
    auto state() const -> version::state::LogStatePtr override { return m_state; }
    auto lastConfirmed() const -> base::TimePoint override { return process::clock::now(); }
    auto append(version::state::RecordKind, std::string, boost::json::object, base::Duration)
        -> asio::awaitable<absl::StatusOr<std::uint64_t>> override
    {
        co_return std::uint64_t(0);
    }
    auto onChange(std::function<void(version::state::LogStatePtr)>) -> void override { }

private:
    version::state::LogStatePtr m_state;
};

//! Passes each message sent to the dispatcher to a function of the test.
class FakeLink : public connection::link::ILink
{
public:
    std::function<absl::Status(const wire::Envelope &)> onSend;

    auto send(const std::string &, wire::Envelope message) -> absl::Status override
    {
        return onSend(message);
    }
    auto reset(const std::string &) -> void override { }
    auto setHandler(Handler) -> void override { }
    auto setDropHandler(DropHandler) -> void override { }
    auto localAddress() const -> std::string override { return "self"; }
};

//! A RequestRunner with fake dependencies and short timeouts; tests play the dispatcher.
class RequestRunnerTest : public testing::Test
{
protected:
    RequestRunnerTest()
    {
        auto settings = RunnerSettings();
        settings.acceptTimeout = 100ms;
        settings.cancelTimeout = 100ms;
        m_runner = std::make_unique<RequestRunner>(
            RunnerDependencies { m_link, m_membership, m_log, m_metrics, m_quarantine, {} },
            settings);
        m_link.onSend = [this](const wire::Envelope &message) {
            if (message.has_submit()) {
                m_submits.push_back(message.submit());
                onSubmit(message.submit());
            }
            if (message.has_cancel() && onCancel)
                onCancel(message.cancel().attempt_id());
            return m_sendStatus;
        };
    }

    auto reply(std::function<void(wire::Envelope &)> fill) -> void
    {
        auto envelope = wire::Envelope();
        envelope.set_from(DISPATCHER);
        envelope.set_incarnation(1);
        fill(envelope);
        m_runner->onMessage(std::move(envelope));
    }
    auto sendAccepted(const std::string &id) -> void
    {
        reply([&](auto &message) { message.mutable_accepted()->set_attempt_id(id); });
    }
    auto sendStarted(const std::string &id) -> void
    {
        reply([&](auto &message) { message.mutable_started()->set_attempt_id(id); });
    }
    auto sendDone(const std::string &id, std::uint32_t chunkCount = 0) -> void
    {
        reply([&](auto &message) {
            message.mutable_done()->set_attempt_id(id);
            message.mutable_done()->set_status(200);
            message.mutable_done()->set_body(chunkCount == 0 ? "whole" : "");
            message.mutable_done()->set_chunk_count(chunkCount);
        });
    }
    auto sendFailed(const std::string &id, wire::FailureCode code, wire::Ran ran) -> void
    {
        reply([&](auto &message) {
            message.mutable_failed()->set_attempt_id(id);
            message.mutable_failed()->set_code(code);
            message.mutable_failed()->set_ran(ran);
            message.mutable_failed()->set_server_died(code == wire::FAILURE_SERVER_DIED);
        });
    }
    auto sendChunk(const std::string &id, std::uint32_t sequence, const std::string &data) -> void
    {
        reply([&](auto &message) {
            message.mutable_chunk()->set_attempt_id(id);
            message.mutable_chunk()->set_sequence(sequence);
            message.mutable_chunk()->set_data(data);
        });
    }
    auto run(bool idempotent, base::Duration timeout = 2s, bool stream = false) -> RequestOutcome
    {
        auto spec = RequestSpec();
        spec.requestId = "request";
        spec.service = SERVICE;
        spec.deadline = process::clock::now() + timeout;
        spec.idempotent = idempotent;
        spec.stream = stream;
        auto hooks = RunHooks();
        hooks.onChunk = [this](std::string_view part) -> asio::awaitable<absl::Status> {
            m_streamed += part;
            co_return absl::OkStatus();
        };
        auto outcome =
            asio::co_spawn(m_context, m_runner->run(spec, hooks, m_cancellation), asio::use_future);
        m_context.restart();
        m_context.run();
        return outcome.get();
    }

    std::function<void(const wire::Submit &)> onSubmit;
    std::function<void(const std::string &)> onCancel;
    absl::Status m_sendStatus;
    std::vector<wire::Submit> m_submits;
    std::string m_streamed;
    std::shared_ptr<ICancellation> m_cancellation;
    asio::io_context m_context;
    FakeLink m_link;
    FakeMembership m_membership;
    FakeLog m_log;
    process::metrics::Registry m_metrics;
    request::quarantine::Quarantine m_quarantine { {} };
    std::unique_ptr<RequestRunner> m_runner;
};

} // namespace

TEST_F(RequestRunnerTest, Execution_Run_ReturnsResponseOfItsOwnAttempt)
{
    onSubmit = [this](const wire::Submit &submit) {
        sendDone("another attempt");
        sendAccepted(submit.attempt_id());
        sendStarted(submit.attempt_id());
        sendDone(submit.attempt_id());
    };
    const auto outcome = run(false);
    EXPECT_TRUE(outcome.ok);
    EXPECT_EQ(outcome.body, "whole");
    EXPECT_EQ(m_runner->openAttempts(), 0U);
}

TEST_F(RequestRunnerTest, Execution_Stream_ForwardsChunksInOrderAndFailsOnGap)
{
    onSubmit = [this](const wire::Submit &submit) {
        sendChunk(submit.attempt_id(), 0, "a");
        sendChunk(submit.attempt_id(), 1, "b");
        sendDone(submit.attempt_id(), 2);
    };
    EXPECT_TRUE(run(true, 2s, true).ok);
    EXPECT_EQ(m_streamed, "ab");
    onSubmit = [this](const wire::Submit &submit) {
        sendChunk(submit.attempt_id(), 0, "a");
        sendChunk(submit.attempt_id(), 2, "c");
        sendDone(submit.attempt_id(), 2);
    };
    const auto outcome = run(true, 2s, true);
    EXPECT_EQ(outcome.refusal.code, "truncated_answer");
    EXPECT_EQ(outcome.refusal.ran, wire::RAN_UNKNOWN);
}

TEST_F(RequestRunnerTest, Execution_NonIdempotent_IsNotRetriedOnceItMayHaveRun)
{
    onSubmit = [this](const wire::Submit &submit) {
        sendStarted(submit.attempt_id());
        sendFailed(submit.attempt_id(), wire::FAILURE_SERVER_DIED, wire::RAN_UNKNOWN);
    };
    const auto outcome = run(false);
    EXPECT_EQ(outcome.refusal.code, "server_died");
    EXPECT_EQ(outcome.refusal.ran, wire::RAN_UNKNOWN);
    EXPECT_EQ(m_submits.size(), 1U);
}

TEST_F(RequestRunnerTest, Execution_NonIdempotent_IsRetriedWhenItDidNotRun)
{
    onSubmit = [this](const wire::Submit &submit) {
        if (m_submits.size() == 1)
            sendFailed(submit.attempt_id(), wire::FAILURE_CONNECT, wire::RAN_NOT_RUN);
        else
            sendDone(submit.attempt_id());
    };
    EXPECT_TRUE(run(false).ok);
    EXPECT_EQ(m_submits.size(), 2U);
}

TEST_F(RequestRunnerTest, Execution_SilentDispatcher_ReportsRunUnknownOrRetriesIdempotent)
{
    onSubmit = [](const wire::Submit &) {};
    const auto outcome = run(false);
    EXPECT_EQ(outcome.refusal.code, "dispatcher_lost");
    EXPECT_EQ(outcome.refusal.ran, wire::RAN_UNKNOWN);
    EXPECT_EQ(m_submits.size(), 1U);
    run(true, 2s);
    EXPECT_GT(m_submits.size(), 2U);
}

TEST_F(RequestRunnerTest, Execution_Deadline_ReportsNotRunOnlyAfterConfirmedCancellation)
{
    onSubmit = [this](const wire::Submit &submit) { sendAccepted(submit.attempt_id()); };
    auto outcome = run(false, 150ms);
    EXPECT_EQ(outcome.refusal.code, "deadline_exceeded");
    EXPECT_EQ(outcome.refusal.ran, wire::RAN_UNKNOWN);
    onCancel = [this](const std::string &id) {
        sendFailed(id, wire::FAILURE_CANCELLED, wire::RAN_NOT_RUN);
    };
    outcome = run(false, 150ms);
    EXPECT_EQ(outcome.refusal.ran, wire::RAN_NOT_RUN);
}

TEST_F(RequestRunnerTest, Execution_SendError_ReportsNotRun)
{
    m_sendStatus = absl::ResourceExhaustedError("full");
    onSubmit = [](const wire::Submit &) {};
    const auto outcome = run(false);
    EXPECT_FALSE(outcome.ok);
    EXPECT_EQ(outcome.refusal.ran, wire::RAN_NOT_RUN);
}

TEST_F(RequestRunnerTest, Execution_WithdrawnKey_CancelsRunningStream)
{
    auto runs = KeyedRuns();
    m_cancellation = m_runner->makeCancellation();
    const auto entry = KeyedRuns::Entry(runs, "key-1", m_cancellation);
    onSubmit = [&](const wire::Submit &submit) {
        sendChunk(submit.attempt_id(), 0, "a");
        const auto reason = request::refusal::makeRefusal(request::refusal::Code::KeyWithdrawn,
                                                          wire::RAN_UNKNOWN, {});
        runs.cancelInvalid([](const std::string &key) { return key != "key-1"; }, reason);
        sendChunk(submit.attempt_id(), 1, "b");
    };
    onCancel = [this](const std::string &id) {
        sendFailed(id, wire::FAILURE_CANCELLED, wire::RAN_UNKNOWN);
    };
    EXPECT_EQ(run(true, 5s, true).refusal.code, "key_withdrawn");
    EXPECT_EQ(m_submits.size(), 1U);
}

TEST_F(RequestRunnerTest, Execution_ServerCrashingRequest_IsIsolatedThenRefused)
{
    onSubmit = [this](const wire::Submit &submit) {
        sendStarted(submit.attempt_id());
        sendFailed(submit.attempt_id(), wire::FAILURE_SERVER_DIED, wire::RAN_UNKNOWN);
    };
    EXPECT_EQ(run(true).refusal.code, "quarantined");
    ASSERT_EQ(m_submits.size(), 2U);
    EXPECT_FALSE(m_submits[0].isolate());
    EXPECT_TRUE(m_submits[1].isolate());
    EXPECT_EQ(run(true).refusal.ran, wire::RAN_NOT_RUN);
    EXPECT_EQ(m_submits.size(), 2U);
}

TEST_F(RequestRunnerTest, Execution_OwnershipChange_IsRetriedWithoutBudget)
{
    onSubmit = [this](const wire::Submit &submit) {
        if (m_submits.size() < 6)
            sendFailed(submit.attempt_id(), wire::FAILURE_NOT_OWNER, wire::RAN_NOT_RUN);
        else
            sendDone(submit.attempt_id());
    };
    EXPECT_TRUE(run(false).ok);
}

TEST(RetryBudget, Execution_RetryBudget_LimitsRetriesToShareOfRequests)
{
    auto budget = RetryBudget(0.1, 5);
    auto retries = 0;
    for (auto request = 0; request < 1000; ++request) {
        budget.recordRequest(SERVICE);
        retries += budget.tryConsume(SERVICE) ? 1 : 0;
    }
    EXPECT_LE(retries, 105);
    EXPECT_GE(retries, 95);
}

//! A request that may have run is retried only if it is idempotent. No request is retried past its
//! deadline or after part of the response was sent to the caller.
RC_GTEST_PROP(RetryPolicy, Execution_RetryPolicy_NeverRetriesUnsafely, ())
{
    auto input = RetryInput();
    input.code = static_cast<wire::FailureCode>(*rc::gen::inRange(0, 13));
    input.ran = *rc::gen::arbitrary<bool>() ? wire::RAN_NOT_RUN : wire::RAN_UNKNOWN;
    input.idempotent = *rc::gen::arbitrary<bool>();
    input.responseStarted = *rc::gen::arbitrary<bool>();
    input.attempts = *rc::gen::inRange(1U, 8U);
    input.ownershipChanges = *rc::gen::inRange(0U, 60U);
    input.hasOtherShard = *rc::gen::arbitrary<bool>();
    const auto now = base::TimePoint(1h);
    input.deadline = now + std::chrono::milliseconds(*rc::gen::inRange(-100, 3000));
    const auto settings = RetrySettings();
    const auto decision = decideRetry(input, settings, 0.5, now);
    if (!decision.retry)
        return;
    RC_ASSERT(input.idempotent || input.ran == wire::RAN_NOT_RUN);
    RC_ASSERT(!input.responseStarted);
    RC_ASSERT(now + decision.backoff < input.deadline);
    RC_ASSERT(decision.backoff > base::Duration(0));
    RC_ASSERT(!decision.needsBudgetToken || input.attempts < settings.maxAttempts);
}

TEST(ShardChooser, Execution_ShardChooser_LeavesPrefixShardWhenOverloaded)
{
    auto chooser = ShardChooser(ShardPolicy::LoadAware);
    const auto now = base::TimePoint(1h);
    auto query = ShardQuery();
    query.shards = { "s/0", "s/1", "s/2" };
    query.prefixKey = "prefix";
    const auto affinityShard = base::rendezvousOwner(query.prefixKey, query.shards);
    for (auto index = std::uint64_t(0); index < 20; ++index) {
        query.random = base::hash64("r", index);
        EXPECT_EQ(chooser.choose(query, now), affinityShard);
    }
    auto hint = wire::LoadHint();
    hint.set_shard(affinityShard);
    hint.set_queued(50);
    hint.set_capacity(10);
    chooser.recordLoadHint(hint, now);
    auto otherChoices = 0;
    for (auto index = std::uint64_t(0); index < 100; ++index) {
        query.random = base::hash64("r", index);
        otherChoices += chooser.choose(query, now) != affinityShard ? 1 : 0;
    }
    EXPECT_GT(otherChoices, 75);
}
