#include "request/step/internal/stepsession.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include "base/hash.h"
#include "base/status.h"
#include "base/text.h"
#include "process/clock/clock.h"
#include "process/logging/logging.h"

namespace nutmegplank::request::step {

namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr auto TICK_INTERVAL = std::chrono::milliseconds(20);
constexpr auto COMPLETIONS_PATH = "/v1/completions";
constexpr auto JSON_TYPE = "application/json";
constexpr auto HTTP_OK = std::uint32_t(200);

auto openedResponse(const StepMachine &machine) -> connection::http::Response
{
    auto body = json::object();
    body["step"] = machine.spec().stepName;
    body["epoch"] = machine.epoch();
    body["slots"] = machine.slotCount();
    return connection::http::jsonResponse(201, json::serialize(body));
}

auto staleEpochRefusal(std::uint64_t newest) -> execution::Refusal
{
    return notRunRefusal(409, "stale_epoch", base::concat("the step is open with epoch ", newest));
}

auto logContradictorySample(const std::string &step, const std::string &slot,
                            const std::string &server, const absl::Status &cause) -> void
{
    process::logging::warning("step.sample_contradictory",
                              { { "step", json::value(step) },
                                { "slot", json::value(slot) },
                                { "server", json::value(server) },
                                { "problem", json::value(base::describe(cause)) } });
}

} // namespace

StepSession::StepSession(SessionResources &resources, StepCaller caller, StepSpec spec)
    : m_resources(resources)
    , m_caller(std::move(caller))
    , m_strand(asio::make_strand(resources.context))
    , m_pullWakeup(m_strand, asio::steady_timer::time_point::max())
    , m_machine(spec, resources.policy)
    , m_lastPullTime(process::clock::now())
    , m_contentHash(contentHash(spec))
{ }

auto StepSession::start() -> void
{
    auto self = shared_from_this();
    asio::co_spawn(
        m_strand, [self]() { return self->runTickLoop(); }, asio::detached);
}

//! Starts generations whose backoff has expired and closes the step when it is abandoned or
//! drained. Everything else is driven by events.
auto StepSession::runTickLoop() -> asio::awaitable<void>
{
    const auto self = shared_from_this();
    auto timer = asio::steady_timer(m_strand);
    while (!m_closed) {
        startDueGenerations();
        const auto now = process::clock::now();
        const auto abandoned = now - m_lastPullTime > m_resources.policy.closeAfterIdle;
        if (abandoned || (m_draining && m_machine.unacknowledgedSlots() == 0)) {
            close(notRunRefusal(404, "unknown_step", "the step has ended here"));
            break;
        }
        timer.expires_after(TICK_INTERVAL);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

auto StepSession::noteVersionFromLog() -> void
{
    const auto state = m_resources.log.state();
    const auto found = state->weights.find(m_machine.spec().service);
    if (found != state->weights.end())
        m_machine.noteVersion(found->second.version);
}

auto StepSession::startDueGenerations() -> void
{
    if (m_closed)
        return;
    noteVersionFromLog();
    const auto now = process::clock::now();
    if (now - m_lastPullTime > m_resources.policy.pauseAfterIdle)
        return;
    auto self = shared_from_this();
    while (const auto start = m_machine.nextStart(now)) {
        if (start->hedge)
            m_resources.metrics.hedges.add();
        m_cancellations[start->attempt] = m_resources.runner.makeCancellation();
        asio::co_spawn(
            m_strand, [self, generation = *start]() { return self->runGeneration(generation); },
            asio::detached);
    }
}

auto StepSession::generationSpec(const GenerationStart &start) const -> execution::RequestSpec
{
    const auto &spec = m_machine.spec();
    const auto &group = spec.groups[start.group];
    auto body = json::object();
    body["prompt"] = group.prompt;
    body["max_tokens"] = group.maxTokens;
    body["seed"] = group.seed + start.index;
    body["stream"] = true;
    auto request = execution::RequestSpec {};
    request.requestId = base::randomId();
    request.workspace = m_caller.workspace;
    request.service = spec.service;
    request.priority = start.straggler ? wire::PRIORITY_STRAGGLER : wire::PRIORITY_ROLLOUT;
    request.deadline = process::clock::now() + m_resources.policy.generationTimeout;
    request.target = COMPLETIONS_PATH;
    request.headers.push_back({ "Content-Type", JSON_TYPE });
    request.body = json::serialize(body);
    request.idempotent = true;
    request.expectedTokens = group.maxTokens;
    request.minWeightVersion = start.minWeightVersion;
    request.prefixKey = base::concat(base::hash64(group.prompt));
    return request;
}

auto StepSession::runGeneration(GenerationStart start) -> asio::awaitable<void>
{
    const auto self = shared_from_this();
    const auto startTime = process::clock::now();
    const auto found = m_cancellations.find(start.attempt);
    if (found == m_cancellations.end())
        co_return;
    const auto cancellation = found->second;
    auto spec = generationSpec(start);
    const auto expected = spec.expectedTokens;
    auto hooks = execution::RunHooks {};
    const auto outcome =
        co_await m_resources.runner.run(std::move(spec), std::move(hooks), cancellation);
    if (m_closed)
        co_return;
    if (!outcome.ok || outcome.status != HTTP_OK) {
        const auto refused = !outcome.ok && outcome.refusal.ran == wire::RAN_NOT_RUN;
        const auto retryAfter = std::chrono::milliseconds(outcome.refusal.retryAfterMs);
        m_cancellations.erase(start.attempt);
        if (m_machine.fail(start.attempt, process::clock::now(), retryAfter, refused))
            m_resources.metrics.retries.add();
        co_return;
    }
    auto sample = makeSample(outcome, expected);
    if (!sample.ok()) {
        logContradictorySample(m_machine.spec().stepName,
                               m_machine.slotName(start.group, start.index), outcome.server,
                               sample.status());
        discardAttempt(start.attempt, DiscardReason::Contradictory);
        co_return;
    }
    if (!m_machine.spec().scoringService.empty()) {
        sample = co_await score(start, *std::move(sample), cancellation);
        if (m_closed)
            co_return;
        if (!sample.ok()) {
            discardAttempt(start.attempt, DiscardReason::ScoreUnknown);
            co_return;
        }
    }
    finishAttempt(start.attempt, startTime, *std::move(sample));
}

auto StepSession::discardAttempt(AttemptId attempt, DiscardReason reason) -> void
{
    m_cancellations.erase(attempt);
    if (m_machine.fail(attempt, process::clock::now(), base::Duration(0), false))
        m_resources.metrics.countDiscard(reason);
}

auto StepSession::finishAttempt(AttemptId attempt, base::TimePoint startTime, Sample sample) -> void
{
    const auto now = process::clock::now();
    m_cancellations.erase(attempt);
    noteVersionFromLog();
    const auto finish = m_machine.finish(attempt, std::move(sample), now);
    if (finish == FinishResult::Kept)
        m_resources.metrics.generationTime.record(now - startTime);
    if (finish == FinishResult::TooOld)
        m_resources.metrics.countDiscard(DiscardReason::TooOld);
    cancelUnneededRuns();
    m_pullWakeup.cancel();
    startDueGenerations();
}

auto StepSession::cancelUnneededRuns() -> void
{
    for (const auto attempt : m_machine.takeCancelled()) {
        const auto found = m_cancellations.find(attempt);
        if (found == m_cancellations.end())
            continue;
        found->second->cancel(notRunRefusal(409, "not_needed", "the slot is filled"));
        m_cancellations.erase(found);
    }
}

auto StepSession::reopen(StepSpec spec) -> Response
{
    if (m_closed)
        return refusalResponse(m_closeReason);
    if (spec.epoch < m_machine.epoch())
        return refusalResponse(staleEpochRefusal(m_machine.epoch()));
    if (contentHash(spec) != m_contentHash)
        return refusalResponse(
            notRunRefusal(409, "step_differs", "the step is open with other groups or bounds"));
    m_machine.reopen(spec.epoch, spec.heldSlots);
    m_machine.noteVersion(spec.trainerVersion);
    m_lastPullTime = process::clock::now();
    cancelUnneededRuns();
    m_pullWakeup.cancel();
    startDueGenerations();
    return openedResponse(m_machine);
}

auto StepSession::isReadyToMove() const -> bool
{
    return m_draining && m_machine.runningAttempts() == 0 && m_machine.finishedCount() == 0;
}

auto StepSession::refusalFor(const PullSpec &spec) const -> std::optional<execution::Refusal>
{
    if (m_closed)
        return m_closeReason;
    const auto epochCheck = m_machine.checkEpoch(spec.epoch);
    if (epochCheck == EpochCheck::Stale)
        return staleEpochRefusal(m_machine.epoch());
    if (epochCheck == EpochCheck::Unknown)
        return notRunRefusal(409, "unknown_epoch",
                             base::concat("the step is open with epoch ", m_machine.epoch()));
    return std::nullopt;
}

//! The response to a pull, or nullopt to keep waiting. The staleness of samples is checked here,
//! immediately before the response is written.
auto StepSession::deliver(const PullSpec &spec, base::TimePoint startTime)
    -> std::optional<Response>
{
    noteVersionFromLog();
    const auto now = process::clock::now();
    const auto result = m_machine.pull(spec.acknowledgedSlots, spec.maxSamples, now);
    auto &metrics = m_resources.metrics;
    metrics.countDiscard(DiscardReason::TooOld, result.discardedTooOld);
    cancelUnneededRuns();
    startDueGenerations();
    if (result.complete && !m_completeCounted) {
        m_completeCounted = true;
        metrics.completed.add();
    }
    const auto moved = isReadyToMove();
    const auto waitElapsed = now - startTime >= std::chrono::milliseconds(spec.waitMs);
    if (result.deliveries.empty() && !result.complete && !moved && !waitElapsed)
        return std::nullopt;
    for (const auto &delivery : result.deliveries) {
        (delivery.repeated ? metrics.repeated : metrics.delivered).add();
        metrics.staleness.record(static_cast<double>(delivery.staleness));
    }
    if (!result.complete) {
        metrics.trainerIdle.record(now - startTime);
        metrics.idleMilliseconds.add(
            static_cast<std::uint64_t>(base::toMilliseconds(now - startTime)));
    }
    if (moved)
        close(notRunRefusal(409, "moved", "the step has left this process"));
    return pullResponse(result, moved);
}

auto StepSession::pull(PullSpec spec) -> asio::awaitable<Response>
{
    const auto self = shared_from_this();
    const auto startTime = process::clock::now();
    const auto pullNumber = ++m_newestPullNumber;
    m_pullWakeup.cancel();
    if (!refusalFor(spec))
        m_machine.noteVersion(spec.trainerVersion);
    auto deadline = asio::steady_timer(m_strand);
    deadline.expires_after(std::chrono::milliseconds(spec.waitMs));
    deadline.async_wait([self](const boost::system::error_code &) { self->m_pullWakeup.cancel(); });
    while (true) {
        if (const auto refusal = refusalFor(spec))
            co_return refusalResponse(*refusal);
        m_lastPullTime = startTime + std::chrono::milliseconds(spec.waitMs);
        // Only the newest pull delivers samples, so that none is delivered twice; this one ends
        // empty.
        if (pullNumber != m_newestPullNumber)
            spec.maxSamples = spec.waitMs = 0;
        auto response = deliver(spec, startTime);
        if (response)
            co_return std::move(*response);
        co_await m_pullWakeup.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

auto StepSession::close(execution::Refusal reason) -> void
{
    if (m_closed.exchange(true))
        return;
    m_closeReason = reason;
    m_machine.stopStarting();
    for (const auto &[attempt, cancellation] : m_cancellations)
        cancellation->cancel(reason);
    m_cancellations.clear();
    m_pullWakeup.cancel();
}

auto StepSession::closeByTrainer(std::uint64_t epoch) -> Response
{
    if (!m_closed && epoch < m_machine.epoch())
        return refusalResponse(staleEpochRefusal(m_machine.epoch()));
    close(notRunRefusal(404, "unknown_step", "the step is closed"));
    return connection::http::jsonResponse(200, "{}");
}

auto StepSession::drain() -> void
{
    m_draining = true;
    m_machine.stopStarting();
    m_pullWakeup.cancel();
}

} // namespace nutmegplank::request::step
