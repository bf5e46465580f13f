#include "request/execution/internal/run.h"

#include "base/hash.h"
#include "process/clock/clock.h"
#include "process/inventory/iinventory.h"
#include "request/execution/internal/attemptrefusal.h"
#include "request/execution/wireheaders.h"
#include "request/refusal/refusal.h"

namespace nutmegplank::request::execution {

namespace asio = boost::asio;

namespace {

//! Longest wait for an event before the timers are checked again.
constexpr auto MAX_EVENT_WAIT = std::chrono::seconds(5);
//! Interval and limit of the wait for an owner of the shard when no dispatcher is alive.
constexpr auto NO_OWNER_RETRY_INTERVAL = std::chrono::milliseconds(50);
constexpr auto NO_OWNER_TIMEOUT = std::chrono::seconds(2);

auto backoffJitter(const std::string &seed, std::uint32_t attempt) -> double
{
    constexpr auto STEPS = std::uint64_t(1000);
    return static_cast<double>(base::hash64(seed, attempt) % STEPS) / STEPS;
}

} // namespace

Run::Run(RunShared &shared, RequestSpec spec, RunHooks hooks,
         std::shared_ptr<Cancellation> cancellation, std::shared_ptr<Mailbox> mailbox)
    : m_shared(shared)
    , m_spec(std::move(spec))
    , m_hooks(std::move(hooks))
    , m_cancellation(std::move(cancellation))
    , m_mailbox(std::move(mailbox))
    , m_fingerprint(quarantine::fingerprintOf(m_spec.workspace, m_spec.body))
{ }

Run::~Run()
{
    recordWaitEnd(process::clock::now());
    for (auto &attempt : m_attempts) {
        m_shared.registry.remove(attempt.id());
        m_shared.chooser.recordEnded(attempt.shard());
    }
}

auto Run::recordWaitEnd(base::TimePoint now) -> void
{
    if (!m_waitingSince.has_value())
        return;
    m_shared.demand.recordStart(m_spec.service, now - *m_waitingSince);
    m_waitingSince.reset();
}

auto Run::execute() -> asio::awaitable<RequestOutcome>
{
    m_nextAttemptAt = process::clock::now();
    m_waitingSince = m_nextAttemptAt;
    m_shared.demand.recordArrival(m_spec.service);
    while (!m_outcome.has_value()) {
        const auto now = process::clock::now();
        handleTimers(now);
        if (m_outcome.has_value())
            break;
        auto event = co_await m_mailbox->pop(timeUntilNextCheck(now));
        if (event.has_value())
            co_await onEvent(std::move(*event));
    }
    const auto now = process::clock::now();
    for (auto &attempt : m_attempts)
        cancelAttempt(attempt, now);
    co_return std::move(*m_outcome);
}

auto Run::handleTimers(base::TimePoint now) -> void
{
    if (m_refusal.has_value()) {
        finishAbort(now);
        return;
    }
    const auto reason = m_cancellation->reason();
    if (reason.has_value()) {
        abortRun(*reason, now);
        return;
    }
    if (now >= m_spec.deadline) {
        m_deadlinePassed = true;
        abortRun(refusal::makeRefusal(refusal::Code::DeadlineExceeded, wire::RAN_NOT_RUN,
                                      { "the deadline passed", "execution.wait", "", 0 }),
                 now);
        return;
    }
    if (m_nextAttemptAt.has_value() && *m_nextAttemptAt <= now) {
        m_nextAttemptAt.reset();
        startAttempt(now);
    }
    for (auto index = std::size_t(0); index < m_attempts.size(); ++index)
        checkAttemptTimeouts(m_attempts[index], now);
    startHedge(now);
}

auto Run::timeUntilNextCheck(base::TimePoint now) const -> base::Duration
{
    auto wakeTime = std::min(m_spec.deadline, now + MAX_EVENT_WAIT);
    if (m_refusal.has_value())
        wakeTime = now + MAX_EVENT_WAIT;
    if (m_nextAttemptAt.has_value())
        wakeTime = std::min(wakeTime, *m_nextAttemptAt);
    for (const auto &attempt : m_attempts) {
        if (attempt.cancelConfirmationDeadline.has_value())
            wakeTime = std::min(wakeTime, *attempt.cancelConfirmationDeadline);
        else if (attempt.phase() == AttemptPhase::Sent)
            wakeTime = std::min(wakeTime, attempt.sentAt() + m_shared.settings.acceptTimeout);
        else if (attempt.phase() == AttemptPhase::Started && !m_hedged)
            wakeTime = std::min(wakeTime, attempt.startedAt() + m_shared.settings.hedging.delay);
    }
    return std::max<base::Duration>(wakeTime - now, std::chrono::milliseconds(1));
}

auto Run::onEvent(RunEvent event) -> asio::awaitable<void>
{
    // Cancelled events name no attempt: they only wake execute(), and handleTimers() aborts the
    // run.
    auto *attempt = findAttempt(event.attemptId);
    if (attempt == nullptr)
        co_return;
    if (event.kind == RunEvent::Kind::Message) {
        co_await onMessage(*attempt, event.message);
        co_return;
    }
    if (event.kind == RunEvent::Kind::NeverSent)
        attempt->markNeverSent();
    else
        attempt->markLost();
    onFailure(*attempt, process::clock::now());
}

auto Run::onMessage(AttemptState &attempt, const wire::Envelope &message) -> asio::awaitable<void>
{
    const auto now = process::clock::now();
    const auto update = attempt.apply(message, now);
    if (attempt.phase() >= AttemptPhase::Started)
        recordWaitEnd(now);
    switch (update) {
    case AttemptUpdate::Pending:
        break;
    case AttemptUpdate::Chunk:
        co_await onChunk(attempt);
        break;
    case AttemptUpdate::Completed:
        onAnswer(attempt);
        break;
    case AttemptUpdate::Failure:
        onFailure(attempt, now);
        break;
    }
}

auto Run::onChunk(AttemptState &attempt) -> asio::awaitable<void>
{
    // An aborted run discards the rest of the response.
    if (m_refusal.has_value())
        co_return;
    m_responseStarted = true;
    const auto status = co_await forwardChunk(attempt);
    if (!status.ok()) {
        abortRun(refusal::makeRefusal(refusal::Code::CallerGone, wire::RAN_UNKNOWN,
                                      { "the caller is gone", "answer.write", "", 0 }),
                 process::clock::now());
    }
}

auto Run::forwardChunk(AttemptState &attempt) -> asio::awaitable<absl::Status>
{
    const auto &chunk = attempt.chunk();
    if (!attempt.responseForwarded && m_hooks.onHead) {
        const auto headers = toHttpHeaders(chunk.headers());
        auto status = co_await m_hooks.onHead(chunk.status(), headers);
        if (!status.ok())
            co_return status;
    }
    attempt.responseForwarded = true;
    if (!m_hooks.onChunk || chunk.data().empty())
        co_return absl::OkStatus();
    co_return co_await m_hooks.onChunk(chunk.data());
}

auto Run::onAnswer(AttemptState &attempt) -> void
{
    // A cancelled run, for instance of a withdrawn key, returns no response, not even a complete
    // one. A complete response just after the deadline is still useful unless it is streamed.
    if (m_refusal.has_value() && (!m_deadlinePassed || m_spec.stream)) {
        m_mayHaveRun = true;
        removeAttempt(attempt.id());
        return;
    }
    if (m_isolated)
        m_shared.dependencies.quarantine.recordSuccess(m_fingerprint);
    m_outcome = attempt.takeOutcome();
    if (m_shared.dependencies.onAnswered)
        m_shared.dependencies.onAnswered(m_spec, *m_outcome);
    removeAttempt(attempt.id());
}

auto Run::onFailure(const AttemptState &attempt, base::TimePoint now) -> void
{
    const auto failure = attempt.failure();
    if (failure.serverDied)
        m_shared.dependencies.quarantine.recordDeath(m_fingerprint,
                                                     failure.concurrentRequestsAtDeath, now);
    if (failure.ran != wire::RAN_NOT_RUN)
        m_mayHaveRun = true;
    m_avoidedShard = attempt.shard();
    if (!failure.server.empty())
        m_spec.avoidServers.push_back(failure.server);
    removeAttempt(attempt.id());
    // Another attempt of the run, such as a hedge, may still succeed.
    if (m_refusal.has_value() || !m_attempts.empty() || m_nextAttemptAt.has_value())
        return;
    retryOrAbort(failure, now);
}

auto Run::retryOrAbort(const AttemptFailure &failure, base::TimePoint now) -> void
{
    auto input = RetryInput();
    input.code = failure.code;
    input.ran = m_mayHaveRun ? wire::RAN_UNKNOWN : wire::RAN_NOT_RUN;
    input.idempotent = m_spec.idempotent;
    input.responseStarted = m_responseStarted;
    m_ownershipChanges += isOwnershipChange(failure.code) ? 1 : 0;
    input.attempts = m_attemptCount - m_ownershipChanges;
    input.ownershipChanges = m_ownershipChanges;
    input.retryAfter = std::chrono::milliseconds(failure.retryAfterMs);
    input.deadline = m_spec.deadline;
    const auto state = m_shared.dependencies.log.state();
    const auto service = state->configuration->services.find(m_spec.service);
    input.hasOtherShard =
        service != state->configuration->services.end() && service->second.shards > 1;
    const auto decision = decideRetry(input, m_shared.settings.retries,
                                      backoffJitter(m_spec.requestId, m_attemptCount), now);
    const auto isWithinBudget =
        !decision.needsBudgetToken || m_shared.budget.tryConsume(m_spec.service);
    if (decision.retry && isWithinBudget) {
        m_shared.metrics.retries.add();
        m_nextAttemptAt = now + decision.backoff;
        return;
    }
    if (decision.retry)
        m_shared.metrics.budgetExhausted.add();
    abortRun(refusalFor(failure), now);
}

auto Run::startAttempt(base::TimePoint now) -> void
{
    using Handling = quarantine::Handling;
    const auto handling = m_shared.dependencies.quarantine.handling(m_fingerprint, now);
    if (handling == Handling::Refuse) {
        abortRun(refusal::makeRefusal(
                     refusal::Code::Quarantined, wire::RAN_NOT_RUN,
                     { "backend servers died under this request", "quarantine", "", 0 }),
                 now);
        return;
    }
    m_isolated = handling == Handling::Isolate;
    const auto state = m_shared.dependencies.log.state();
    const auto service = state->configuration->services.find(m_spec.service);
    if (service == state->configuration->services.end()) {
        abortRun(refusal::makeRefusal(refusal::Code::NoService, wire::RAN_NOT_RUN,
                                      { "the service is not declared", "execution", "", 0 }),
                 now);
        return;
    }
    auto query = ShardQuery();
    query.shards = process::inventory::shardsOf(m_spec.service, service->second.shards);
    query.requestId = m_spec.requestId;
    query.prefixKey = m_spec.prefixKey;
    query.avoid = m_avoidedShard;
    const auto attemptId = base::randomId();
    query.random = base::hash64(attemptId);
    const auto shard = m_shared.chooser.choose(query, now);
    const auto view = m_shared.dependencies.membership.view();
    const auto dispatchers = view->liveIds(process::membership::Role::Dispatcher);
    const auto owner = base::rendezvousOwner(shard, dispatchers);
    const auto *member = view->find(owner);
    if (member == nullptr) {
        waitForShardOwner(now);
        return;
    }
    m_noOwnerSince.reset();
    ++m_attemptCount;
    m_shared.metrics.attempts.add();
    m_attempts.emplace_back(attemptId, shard, owner, now);
    m_attempts.back().buffersBody = !m_spec.stream;
    m_shared.chooser.recordSent(shard);
    m_shared.registry.add(attemptId, owner, m_mailbox);
    auto envelope = wire::Envelope();
    *envelope.mutable_submit() = makeSubmit(attemptId, shard, now);
    const auto linkAddress = member->linkAddress;
    if (m_shared.dependencies.link.send(linkAddress, std::move(envelope)).ok())
        return;
    m_attempts.back().markNeverSent();
    onFailure(AttemptState(m_attempts.back()), now);
}

auto Run::waitForShardOwner(base::TimePoint now) -> void
{
    if (!m_noOwnerSince.has_value())
        m_noOwnerSince = now;
    m_nextAttemptAt = now + NO_OWNER_RETRY_INTERVAL;
    if (now - *m_noOwnerSince < NO_OWNER_TIMEOUT)
        return;
    abortRun(refusal::makeRefusal(refusal::Code::NoDispatcher, wire::RAN_NOT_RUN,
                                  { "no dispatcher is alive", "execution.choose", "", 0 }),
             now);
}

auto Run::makeSubmit(const std::string &attemptId, const std::string &shard,
                     base::TimePoint now) const -> wire::Submit
{
    auto submit = wire::Submit();
    submit.set_attempt_id(attemptId);
    submit.set_request_id(m_spec.requestId);
    submit.set_workspace(m_spec.workspace);
    submit.set_service(m_spec.service);
    submit.set_shard(shard);
    submit.set_priority(m_spec.priority);
    submit.set_deadline_ms(static_cast<std::uint32_t>(base::toMilliseconds(m_spec.deadline - now)));
    submit.set_method(m_spec.method);
    submit.set_target(m_spec.target);
    toWireHeaders(m_spec.headers, submit.mutable_headers());
    submit.set_body(m_spec.body);
    submit.set_idempotent(m_spec.idempotent);
    submit.set_stream(m_spec.stream);
    submit.set_fingerprint(m_fingerprint);
    submit.set_isolate(m_isolated);
    submit.set_expected_tokens(m_spec.expectedTokens);
    submit.set_min_weight_version(m_spec.minWeightVersion);
    submit.set_prefix_key(m_spec.prefixKey);
    for (const auto &server : m_spec.avoidServers)
        submit.add_avoid_servers(server);
    return submit;
}

auto Run::startHedge(base::TimePoint now) -> void
{
    const auto &hedging = m_shared.settings.hedging;
    const auto isRollout = m_spec.priority != wire::PRIORITY_ORDER;
    if (!hedging.enabled || m_hedged || !isRollout || !m_spec.idempotent || m_spec.stream)
        return;
    if (m_attempts.size() != 1 || m_attempts.front().phase() != AttemptPhase::Started)
        return;
    const auto isSlow = now >= m_attempts.front().startedAt() + hedging.delay;
    if (!isSlow || m_isolated)
        return;
    m_hedged = true;
    if (!m_shared.budget.tryConsume(m_spec.service))
        return;
    m_shared.metrics.hedges.add();
    m_spec.avoidServers.push_back(m_attempts.front().server());
    m_avoidedShard = m_attempts.front().shard();
    startAttempt(now);
}

auto Run::checkAttemptTimeouts(AttemptState &attempt, base::TimePoint now) -> void
{
    if (attempt.cancelConfirmationDeadline.has_value()) {
        if (now < *attempt.cancelConfirmationDeadline)
            return;
        attempt.markLost();
        onFailure(AttemptState(attempt), now);
        return;
    }
    const auto isOverdue = now >= attempt.sentAt() + m_shared.settings.acceptTimeout;
    if (attempt.phase() != AttemptPhase::Sent || !isOverdue)
        return;
    cancelAttempt(attempt, now);
    // An idempotent request is retried without waiting for the confirmation.
    if (!m_spec.idempotent || m_refusal.has_value())
        return;
    attempt.markLost();
    onFailure(AttemptState(attempt), now);
}

auto Run::cancelAttempt(AttemptState &attempt, base::TimePoint now) -> void
{
    if (attempt.cancelConfirmationDeadline.has_value())
        return;
    attempt.cancelConfirmationDeadline = now + m_shared.settings.cancelTimeout;
    const auto view = m_shared.dependencies.membership.view();
    const auto *member = view->find(attempt.dispatcher());
    if (member == nullptr)
        return;
    auto envelope = wire::Envelope();
    envelope.mutable_cancel()->set_attempt_id(attempt.id());
    // A send error needs no handling: the missing confirmation times out.
    static_cast<void>(m_shared.dependencies.link.send(member->linkAddress, std::move(envelope)));
}

auto Run::abortRun(Refusal refusal, base::TimePoint now) -> void
{
    if (m_refusal.has_value())
        return;
    m_refusal = std::move(refusal);
    m_nextAttemptAt.reset();
    for (auto &attempt : m_attempts)
        cancelAttempt(attempt, now);
    finishAbort(now);
}

auto Run::finishAbort(base::TimePoint now) -> void
{
    for (const auto &attempt : m_attempts) {
        if (attempt.cancelConfirmationDeadline.has_value()
            && now < *attempt.cancelConfirmationDeadline)
            return;
    }
    const auto certainlyNotRun = m_attempts.empty() && !m_mayHaveRun;
    m_refusal->ran = certainlyNotRun ? wire::RAN_NOT_RUN : wire::RAN_UNKNOWN;
    m_outcome = RequestOutcome();
    m_outcome->refusal = *m_refusal;
}

auto Run::findAttempt(const std::string &attemptId) -> AttemptState *
{
    const auto hasId = [&attemptId](const AttemptState &attempt) {
        return attempt.id() == attemptId;
    };
    const auto found = std::find_if(m_attempts.begin(), m_attempts.end(), hasId);
    return found == m_attempts.end() ? nullptr : &*found;
}

auto Run::removeAttempt(const std::string &attemptId) -> void
{
    auto *attempt = findAttempt(attemptId);
    if (attempt == nullptr)
        return;
    m_shared.registry.remove(attempt->id());
    m_shared.chooser.recordEnded(attempt->shard());
    const auto id = attempt->id();
    std::erase_if(m_attempts, [&id](const AttemptState &other) { return other.id() == id; });
}

} // namespace nutmegplank::request::execution
