#include "request/execution/internal/run.h"

#include "base/hash.h"
#include "process/clock/clock.h"
#include "process/inventory/iinventory.h"
#include "request/execution/internal/failuretext.h"
#include "request/execution/wireheaders.h"
#include "request/refusal/refusal.h"

namespace nutmegplank::request::execution {

namespace asio = boost::asio;

namespace {

//! Longest sleep of a run that waits for messages only.
constexpr auto LONGEST_WAIT = std::chrono::seconds(5);
//! How long a run waits when no dispatcher is there to take its shard.
constexpr auto NO_OWNER_BACKOFF = std::chrono::milliseconds(50);
constexpr auto NO_OWNER_PATIENCE = std::chrono::seconds(2);

auto randomSpread(const std::string &seed, std::uint32_t attempt) -> double
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
    endWaiting(process::clock::now());
    for (auto &attempt : m_attempts) {
        m_shared.registry.remove(attempt.id());
        m_shared.chooser.recordEnded(attempt.shard());
    }
}

auto Run::endWaiting(base::TimePoint now) -> void
{
    if (!m_arrivedAt.has_value())
        return;
    m_shared.demand.recordStart(m_spec.service, now - *m_arrivedAt);
    m_arrivedAt.reset();
}

auto Run::drive() -> asio::awaitable<RequestOutcome>
{
    m_startAt = process::clock::now();
    m_arrivedAt = m_startAt;
    m_shared.demand.recordArrival(m_spec.service);
    while (!m_outcome.has_value()) {
        const auto now = process::clock::now();
        onTime(now);
        if (m_outcome.has_value())
            break;
        auto event = co_await m_mailbox->pop(nextWake(now));
        if (event.has_value())
            co_await onEvent(std::move(*event));
    }
    const auto now = process::clock::now();
    for (auto &attempt : m_attempts)
        cancel(attempt, now);
    co_return std::move(*m_outcome);
}

auto Run::onTime(base::TimePoint now) -> void
{
    if (m_refusal.has_value()) {
        finishWindDown(now);
        return;
    }
    const auto reason = m_cancellation->reason();
    if (reason.has_value()) {
        windDown(*reason, now);
        return;
    }
    if (now >= m_spec.deadline) {
        m_expired = true;
        windDown(refusal::makeRefusal(refusal::Code::DeadlineExceeded, wire::RAN_NOT_RUN,
                                      { "the deadline passed", "execution.wait", "", 0 }),
                 now);
        return;
    }
    if (m_startAt.has_value() && *m_startAt <= now) {
        m_startAt.reset();
        startAttempt(now);
    }
    for (auto index = std::size_t(0); index < m_attempts.size(); ++index)
        checkAcceptance(m_attempts[index], now);
    startHedge(now);
}

auto Run::nextWake(base::TimePoint now) const -> base::Duration
{
    auto wake = std::min(m_spec.deadline, now + LONGEST_WAIT);
    if (m_refusal.has_value())
        wake = now + LONGEST_WAIT;
    if (m_startAt.has_value())
        wake = std::min(wake, *m_startAt);
    for (const auto &attempt : m_attempts) {
        if (attempt.cancelledUntil.has_value())
            wake = std::min(wake, *attempt.cancelledUntil);
        else if (attempt.phase() == AttemptPhase::Sent)
            wake = std::min(wake, attempt.sentAt() + m_shared.settings.acceptTime);
        else if (attempt.phase() == AttemptPhase::Started && !m_hedged)
            wake = std::min(wake, attempt.startedAt() + m_shared.settings.hedging.after);
    }
    return std::max<base::Duration>(wake - now, std::chrono::milliseconds(1));
}

auto Run::onEvent(RunEvent event) -> asio::awaitable<void>
{
    auto *attempt = find(event.attemptId);
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

auto Run::onMessage(Attempt &attempt, const wire::Envelope &message) -> asio::awaitable<void>
{
    const auto now = process::clock::now();
    const auto news = attempt.apply(message, now);
    if (attempt.phase() >= AttemptPhase::Started)
        endWaiting(now);
    switch (news) {
    case AttemptNews::Nothing:
        break;
    case AttemptNews::Chunk:
        co_await onChunk(attempt);
        break;
    case AttemptNews::Answer:
        onAnswer(attempt);
        break;
    case AttemptNews::Failure:
        onFailure(attempt, now);
        break;
    }
}

auto Run::onChunk(Attempt &attempt) -> asio::awaitable<void>
{
    // While winding down nobody reads the answer any longer.
    if (m_refusal.has_value())
        co_return;
    m_answerBegun = true;
    const auto status = co_await handOn(attempt);
    if (!status.ok()) {
        windDown(refusal::makeRefusal(refusal::Code::CallerGone, wire::RAN_UNKNOWN,
                                      { "the caller is gone", "answer.write", "", 0 }),
                 process::clock::now());
    }
}

auto Run::handOn(Attempt &attempt) -> asio::awaitable<absl::Status>
{
    const auto &chunk = attempt.chunk();
    if (!attempt.handedOn && m_hooks.onHead) {
        const auto headers = toHttpHeaders(chunk.headers());
        auto status = co_await m_hooks.onHead(chunk.status(), headers);
        if (!status.ok())
            co_return status;
    }
    attempt.handedOn = true;
    if (!m_hooks.onChunk || chunk.data().empty())
        co_return absl::OkStatus();
    co_return co_await m_hooks.onChunk(chunk.data());
}

auto Run::onAnswer(Attempt &attempt) -> void
{
    // A cut key gets no answer, whole or not; an answer just after the deadline is worth having.
    if (m_refusal.has_value() && (!m_expired || m_spec.stream)) {
        m_mayHaveRun = true;
        forget(attempt.id());
        return;
    }
    if (m_isolated)
        m_shared.dependencies.quarantine.recordSuccess(m_fingerprint);
    m_outcome = attempt.takeAnswer();
    if (m_shared.dependencies.onAnswered)
        m_shared.dependencies.onAnswered(m_spec, *m_outcome);
    forget(attempt.id());
}

auto Run::onFailure(const Attempt &attempt, base::TimePoint now) -> void
{
    const auto end = attempt.end();
    if (end.serverDied)
        m_shared.dependencies.quarantine.recordDeath(m_fingerprint, end.diedBeside, now);
    if (end.ran != wire::RAN_NOT_RUN)
        m_mayHaveRun = true;
    m_failedShard = attempt.shard();
    if (!end.server.empty())
        m_spec.avoidServers.push_back(end.server);
    forget(attempt.id());
    // A hedge that is still running may answer.
    if (m_refusal.has_value() || !m_attempts.empty() || m_startAt.has_value())
        return;
    retryOrRefuse(end, now);
}

auto Run::retryOrRefuse(const AttemptEnd &end, base::TimePoint now) -> void
{
    auto input = RetryInput();
    input.code = end.code;
    input.ran = m_mayHaveRun ? wire::RAN_UNKNOWN : wire::RAN_NOT_RUN;
    input.idempotent = m_spec.idempotent;
    input.answerBegun = m_answerBegun;
    m_moves += isMove(end.code) ? 1 : 0;
    input.attempts = m_begun - m_moves;
    input.moves = m_moves;
    input.retryAfter = std::chrono::milliseconds(end.retryAfterMs);
    input.deadline = m_spec.deadline;
    const auto state = m_shared.dependencies.log.state();
    const auto service = state->configuration->services.find(m_spec.service);
    input.otherShard =
        service != state->configuration->services.end() && service->second.shards > 1;
    const auto decision =
        decideRetry(input, m_shared.settings.retries, randomSpread(m_spec.requestId, m_begun), now);
    const auto isPaid = !decision.costsBudget || m_shared.budget.take(m_spec.service);
    if (decision.retry && isPaid) {
        m_shared.metrics.retries.add();
        m_startAt = now + decision.backoff;
        return;
    }
    if (decision.retry)
        m_shared.metrics.budgetEmpty.add();
    windDown(refusalFor(end), now);
}

auto Run::startAttempt(base::TimePoint now) -> void
{
    using Handling = quarantine::Handling;
    const auto handling = m_shared.dependencies.quarantine.handling(m_fingerprint, now);
    if (handling == Handling::Refuse) {
        windDown(refusal::makeRefusal(
                     refusal::Code::Quarantined, wire::RAN_NOT_RUN,
                     { "backend servers died under this request", "quarantine", "", 0 }),
                 now);
        return;
    }
    m_isolated = handling == Handling::Isolate;
    const auto state = m_shared.dependencies.log.state();
    const auto service = state->configuration->services.find(m_spec.service);
    if (service == state->configuration->services.end()) {
        windDown(refusal::makeRefusal(refusal::Code::NoService, wire::RAN_NOT_RUN,
                                      { "the service is not declared", "execution", "", 0 }),
                 now);
        return;
    }
    auto query = ShardQuery();
    query.shards = process::inventory::shardsOf(m_spec.service, service->second.shards);
    query.requestId = m_spec.requestId;
    query.prefixKey = m_spec.prefixKey;
    query.avoid = m_failedShard;
    const auto attemptId = base::randomId();
    query.random = base::hash64(attemptId);
    const auto shard = m_shared.chooser.choose(query, now);
    const auto view = m_shared.dependencies.membership.view();
    const auto dispatchers = view->liveIds(process::membership::Role::Dispatcher);
    const auto owner = base::rendezvousOwner(shard, dispatchers);
    const auto *member = view->find(owner);
    if (member == nullptr) {
        waitForOwner(now);
        return;
    }
    m_ownerless.reset();
    ++m_begun;
    m_shared.metrics.attempts.add();
    m_attempts.emplace_back(attemptId, shard, owner, now);
    m_attempts.back().collects = !m_spec.stream;
    m_shared.chooser.recordSent(shard);
    m_shared.registry.add(attemptId, owner, m_mailbox);
    auto envelope = wire::Envelope();
    *envelope.mutable_submit() = makeSubmit(attemptId, shard, now);
    const auto linkAddress = member->linkAddress;
    if (m_shared.dependencies.link.send(linkAddress, std::move(envelope)).ok())
        return;
    m_attempts.back().markNeverSent();
    onFailure(Attempt(m_attempts.back()), now);
}

auto Run::waitForOwner(base::TimePoint now) -> void
{
    if (!m_ownerless.has_value())
        m_ownerless = now;
    m_startAt = now + NO_OWNER_BACKOFF;
    if (now - *m_ownerless < NO_OWNER_PATIENCE)
        return;
    windDown(refusal::makeRefusal(refusal::Code::NoDispatcher, wire::RAN_NOT_RUN,
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
    const auto isSlow = now >= m_attempts.front().startedAt() + hedging.after;
    if (!isSlow || m_isolated)
        return;
    m_hedged = true;
    if (!m_shared.budget.take(m_spec.service))
        return;
    m_shared.metrics.hedges.add();
    m_spec.avoidServers.push_back(m_attempts.front().server());
    m_failedShard = m_attempts.front().shard();
    startAttempt(now);
}

auto Run::checkAcceptance(Attempt &attempt, base::TimePoint now) -> void
{
    if (attempt.cancelledUntil.has_value()) {
        if (now < *attempt.cancelledUntil)
            return;
        attempt.markLost();
        onFailure(Attempt(attempt), now);
        return;
    }
    const auto isOverdue = now >= attempt.sentAt() + m_shared.settings.acceptTime;
    if (attempt.phase() != AttemptPhase::Sent || !isOverdue)
        return;
    cancel(attempt, now);
    // What may be repeated does not wait for the confirmation.
    if (!m_spec.idempotent || m_refusal.has_value())
        return;
    attempt.markLost();
    onFailure(Attempt(attempt), now);
}

auto Run::cancel(Attempt &attempt, base::TimePoint now) -> void
{
    if (attempt.cancelledUntil.has_value())
        return;
    attempt.cancelledUntil = now + m_shared.settings.cancelTime;
    const auto view = m_shared.dependencies.membership.view();
    const auto *member = view->find(attempt.dispatcher());
    if (member == nullptr)
        return;
    auto envelope = wire::Envelope();
    envelope.mutable_cancel()->set_attempt_id(attempt.id());
    // A lost cancellation shows as a missing confirmation.
    static_cast<void>(m_shared.dependencies.link.send(member->linkAddress, std::move(envelope)));
}

auto Run::windDown(Refusal refusal, base::TimePoint now) -> void
{
    if (m_refusal.has_value())
        return;
    m_refusal = std::move(refusal);
    m_startAt.reset();
    for (auto &attempt : m_attempts)
        cancel(attempt, now);
    finishWindDown(now);
}

auto Run::finishWindDown(base::TimePoint now) -> void
{
    for (const auto &attempt : m_attempts) {
        if (attempt.cancelledUntil.has_value() && now < *attempt.cancelledUntil)
            return;
    }
    const auto isCertain = m_attempts.empty() && !m_mayHaveRun;
    m_refusal->ran = isCertain ? wire::RAN_NOT_RUN : wire::RAN_UNKNOWN;
    m_outcome = RequestOutcome();
    m_outcome->refusal = *m_refusal;
}

auto Run::find(const std::string &attemptId) -> Attempt *
{
    const auto isIt = [&attemptId](const Attempt &attempt) { return attempt.id() == attemptId; };
    const auto found = std::find_if(m_attempts.begin(), m_attempts.end(), isIt);
    return found == m_attempts.end() ? nullptr : &*found;
}

auto Run::forget(const std::string &attemptId) -> void
{
    auto *attempt = find(attemptId);
    if (attempt == nullptr)
        return;
    m_shared.registry.remove(attempt->id());
    m_shared.chooser.recordEnded(attempt->shard());
    const auto id = attempt->id();
    std::erase_if(m_attempts, [&id](const Attempt &other) { return other.id() == id; });
}

} // namespace nutmegplank::request::execution
