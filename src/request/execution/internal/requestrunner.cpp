#include "request/execution/requestrunner.h"

#include "process/clock/clock.h"
#include "request/execution/internal/run.h"

namespace nutmegplank::request::execution {

namespace asio = boost::asio;

struct RequestRunner::Shared : RunShared
{
    using RunShared::RunShared;
};

namespace {

auto attemptIdOf(const wire::Envelope &message) -> std::string
{
    switch (message.body_case()) {
    case wire::Envelope::kAccepted:
        return message.accepted().attempt_id();
    case wire::Envelope::kStarted:
        return message.started().attempt_id();
    case wire::Envelope::kChunk:
        return message.chunk().attempt_id();
    case wire::Envelope::kDone:
        return message.done().attempt_id();
    case wire::Envelope::kFailed:
        return message.failed().attempt_id();
    default:
        return {};
    }
}

auto isDeadDispatcher(const process::membership::Member &member) -> bool
{
    return member.role == process::membership::Role::Dispatcher
        && member.state == process::membership::MemberState::Dead;
}

} // namespace

RequestRunner::RequestRunner(RunnerDependencies dependencies, RunnerSettings settings)
    : m_shared(std::make_shared<Shared>(dependencies, settings))
{ }

RequestRunner::~RequestRunner() = default;

auto RequestRunner::makeCancellation() -> std::shared_ptr<ICancellation>
{
    return std::make_shared<Cancellation>();
}

auto RequestRunner::run(RequestSpec spec, RunHooks hooks,
                        std::shared_ptr<ICancellation> cancellation)
    -> asio::awaitable<RequestOutcome>
{
    const auto shared = m_shared;
    auto runCancellation = std::dynamic_pointer_cast<Cancellation>(cancellation);
    if (!runCancellation)
        runCancellation = std::make_shared<Cancellation>();
    auto mailbox = std::make_shared<Mailbox>(co_await asio::this_coro::executor);
    runCancellation->attach(mailbox);
    shared->budget.recordRequest(spec.service);
    auto activeRun = Run(*shared, std::move(spec), std::move(hooks), runCancellation, mailbox);
    auto outcome = co_await activeRun.execute();
    runCancellation->attach(nullptr);
    co_return outcome;
}

auto RequestRunner::onMessage(wire::Envelope message) -> void
{
    const auto now = process::clock::now();
    if (message.has_done())
        m_shared->chooser.recordLoadHint(message.done().load(), now);
    if (message.has_failed())
        m_shared->chooser.recordLoadHint(message.failed().load(), now);
    const auto attemptId = attemptIdOf(message);
    if (attemptId.empty())
        return;
    if (!m_shared->registry.deliver(attemptId, std::move(message)))
        m_shared->metrics.lateMessages.add();
}

auto RequestRunner::onDropped(const wire::Envelope &message) -> void
{
    if (message.has_submit())
        m_shared->registry.notifyNeverSent(message.submit().attempt_id());
}

auto RequestRunner::onMembers(const process::membership::MemberViewPtr &view) -> void
{
    for (const auto &member : view->members) {
        if (isDeadDispatcher(member))
            m_shared->registry.notifyDispatcherLost(member.id);
    }
}

auto RequestRunner::collectDemand() -> std::vector<ServiceDemand>
{
    return m_shared->demand.collect();
}

auto RequestRunner::openAttempts() const -> std::size_t
{
    return m_shared->registry.size();
}

} // namespace nutmegplank::request::execution
