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

constexpr auto TICK = std::chrono::milliseconds(20);
constexpr auto COMPLETIONS_PATH = "/v1/completions";
constexpr auto JSON_TYPE = "application/json";
constexpr auto HTTP_OK = std::uint32_t(200);

auto openedAnswer(const StepMachine &machine) -> connection::http::Response
{
    auto body = json::object();
    body["step"] = machine.spec().step;
    body["epoch"] = machine.epoch();
    body["slots"] = machine.slotCount();
    return connection::http::jsonResponse(201, json::serialize(body));
}

auto staleEpoch(std::uint64_t newest) -> execution::Refusal
{
    return notRun(409, "stale_epoch", base::concat("the step is open with epoch ", newest));
}

auto logContradiction(const std::string &step, const std::string &slot, const std::string &server,
                      const absl::Status &problem) -> void
{
    process::logging::warning("step.sample_contradictory",
                              { { "step", json::value(step) },
                                { "slot", json::value(slot) },
                                { "server", json::value(server) },
                                { "problem", json::value(base::describe(problem)) } });
}

} // namespace

StepSession::StepSession(SessionResources &resources, StepCaller caller, StepSpec spec)
    : m_resources(resources)
    , m_caller(std::move(caller))
    , m_strand(asio::make_strand(resources.context))
    , m_wake(m_strand, asio::steady_timer::time_point::max())
    , m_machine(spec, resources.policy)
    , m_lastPull(process::clock::now())
    , m_contentHash(contentHash(spec))
{ }

auto StepSession::start() -> void
{
    auto self = shared_from_this();
    asio::co_spawn(
        m_strand, [self]() { return self->tick(); }, asio::detached);
}

//! Starts what has become due; everything else is driven by events.
auto StepSession::tick() -> asio::awaitable<void>
{
    const auto self = shared_from_this();
    auto timer = asio::steady_timer(m_strand);
    while (!m_closed) {
        startMore();
        const auto now = process::clock::now();
        const auto abandoned = now - m_lastPull > m_resources.policy.abandonTime;
        if (abandoned || (m_draining && m_machine.left() == 0)) {
            close(notRun(404, "unknown_step", "the step has ended here"));
            break;
        }
        timer.expires_after(TICK);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

auto StepSession::noteLogVersion() -> void
{
    const auto state = m_resources.log.state();
    const auto found = state->weights.find(m_machine.spec().service);
    if (found != state->weights.end())
        m_machine.noteVersion(found->second.version);
}

auto StepSession::startMore() -> void
{
    if (m_closed)
        return;
    noteLogVersion();
    const auto now = process::clock::now();
    if (now - m_lastPull > m_resources.policy.unattendedTime)
        return;
    auto self = shared_from_this();
    while (const auto start = m_machine.nextStart(now)) {
        if (start->hedge)
            m_resources.metrics.hedges.add();
        m_cancellations[start->attempt] = m_resources.runner.makeCancellation();
        asio::co_spawn(
            m_strand, [self, begin = *start]() { return self->generate(begin); }, asio::detached);
    }
}

auto StepSession::generationSpec(const Start &start) const -> execution::RequestSpec
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
    request.deadline = process::clock::now() + m_resources.policy.generationTime;
    request.target = COMPLETIONS_PATH;
    request.headers.push_back({ "Content-Type", JSON_TYPE });
    request.body = json::serialize(body);
    request.idempotent = true;
    request.expectedTokens = group.maxTokens;
    request.minWeightVersion = start.minWeightVersion;
    request.prefixKey = base::concat(base::hash64(group.prompt));
    return request;
}

auto StepSession::generate(Start start) -> asio::awaitable<void>
{
    const auto self = shared_from_this();
    const auto begun = process::clock::now();
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
        const auto wait = std::chrono::milliseconds(outcome.refusal.retryAfterMs);
        m_cancellations.erase(start.attempt);
        if (m_machine.fail(start.attempt, process::clock::now(), wait, refused))
            m_resources.metrics.retries.add();
        co_return;
    }
    auto sample = sampleOf(outcome, expected);
    if (!sample.ok()) {
        logContradiction(m_machine.spec().step, m_machine.slotName(start.group, start.index),
                         outcome.server, sample.status());
        discard(start.attempt, Discard::Contradictory);
        co_return;
    }
    if (!m_machine.spec().scoring.empty()) {
        sample = co_await score(start, *std::move(sample), cancellation);
        if (m_closed)
            co_return;
        if (!sample.ok()) {
            discard(start.attempt, Discard::ScoreUnknown);
            co_return;
        }
    }
    keep(start.attempt, begun, *std::move(sample));
}

auto StepSession::discard(AttemptId attempt, Discard reason) -> void
{
    m_cancellations.erase(attempt);
    if (m_machine.fail(attempt, process::clock::now(), base::Duration(0), false))
        m_resources.metrics.countDiscard(reason);
}

auto StepSession::keep(AttemptId attempt, base::TimePoint begun, Sample sample) -> void
{
    const auto now = process::clock::now();
    m_cancellations.erase(attempt);
    noteLogVersion();
    const auto finish = m_machine.finish(attempt, std::move(sample), now);
    if (finish == Finish::Kept)
        m_resources.metrics.generationTime.record(now - begun);
    if (finish == Finish::TooOld)
        m_resources.metrics.countDiscard(Discard::TooOld);
    cancelUnneeded();
    m_wake.cancel();
    startMore();
}

auto StepSession::cancelUnneeded() -> void
{
    for (const auto attempt : m_machine.takeCancelled()) {
        const auto found = m_cancellations.find(attempt);
        if (found == m_cancellations.end())
            continue;
        found->second->cancel(notRun(409, "not_needed", "the slot is filled"));
        m_cancellations.erase(found);
    }
}

auto StepSession::reopen(StepSpec spec) -> Response
{
    if (m_closed)
        return refusalAnswer(m_closeReason);
    if (spec.epoch < m_machine.epoch())
        return refusalAnswer(staleEpoch(m_machine.epoch()));
    if (contentHash(spec) != m_contentHash)
        return refusalAnswer(
            notRun(409, "step_differs", "the step is open with other groups or bounds"));
    m_machine.reopen(spec.epoch, spec.held);
    m_machine.noteVersion(spec.trainerVersion);
    m_lastPull = process::clock::now();
    cancelUnneeded();
    m_wake.cancel();
    startMore();
    return openedAnswer(m_machine);
}

auto StepSession::isMoved() const -> bool
{
    return m_draining && m_machine.running() == 0 && m_machine.finishedWaiting() == 0;
}

auto StepSession::refusalFor(const PullSpec &spec) const -> std::optional<execution::Refusal>
{
    if (m_closed)
        return m_closeReason;
    const auto check = m_machine.checkEpoch(spec.epoch);
    if (check == EpochCheck::Stale)
        return staleEpoch(m_machine.epoch());
    if (check == EpochCheck::Unknown)
        return notRun(409, "unknown_epoch",
                      base::concat("the step is open with epoch ", m_machine.epoch()));
    return std::nullopt;
}

//! The answer when there is something to say now. The staleness check inside is the last thing
//! before the answer is written.
auto StepSession::deliver(const PullSpec &spec, base::TimePoint begun) -> std::optional<Response>
{
    noteLogVersion();
    const auto now = process::clock::now();
    const auto result = m_machine.pull(spec.acknowledge, spec.max, now);
    auto &metrics = m_resources.metrics;
    metrics.countDiscard(Discard::TooOld, result.thrownAway);
    cancelUnneeded();
    startMore();
    if (result.complete && !m_completeCounted) {
        m_completeCounted = true;
        metrics.completed.add();
    }
    const auto moved = isMoved();
    const auto waited = now - begun >= std::chrono::milliseconds(spec.waitMs);
    if (result.deliveries.empty() && !result.complete && !moved && !waited)
        return std::nullopt;
    for (const auto &delivery : result.deliveries) {
        (delivery.repeated ? metrics.repeated : metrics.delivered).add();
        metrics.staleness.record(static_cast<double>(delivery.staleness));
    }
    if (!result.complete) {
        metrics.trainerIdle.record(now - begun);
        metrics.idleMilliseconds.add(static_cast<std::uint64_t>(base::toMilliseconds(now - begun)));
    }
    if (moved)
        close(notRun(409, "moved", "the step has left this process"));
    return pullAnswer(result, moved);
}

auto StepSession::pull(PullSpec spec) -> asio::awaitable<Response>
{
    const auto self = shared_from_this();
    const auto begun = process::clock::now();
    const auto number = ++m_pullNumber;
    m_wake.cancel();
    if (!refusalFor(spec))
        m_machine.noteVersion(spec.trainerVersion);
    auto deadline = asio::steady_timer(m_strand);
    deadline.expires_after(std::chrono::milliseconds(spec.waitMs));
    deadline.async_wait([self](const boost::system::error_code &) { self->m_wake.cancel(); });
    while (true) {
        if (const auto refusal = refusalFor(spec))
            co_return refusalAnswer(*refusal);
        m_lastPull = begun + std::chrono::milliseconds(spec.waitMs);
        // A newer pull takes over; this one ends without samples, so none is handed out twice.
        if (number != m_pullNumber)
            spec.max = spec.waitMs = 0;
        auto answer = deliver(spec, begun);
        if (answer)
            co_return std::move(*answer);
        co_await m_wake.async_wait(asio::as_tuple(asio::use_awaitable));
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
    m_wake.cancel();
}

auto StepSession::closeFor(std::uint64_t epoch) -> Response
{
    if (!m_closed && epoch < m_machine.epoch())
        return refusalAnswer(staleEpoch(m_machine.epoch()));
    close(notRun(404, "unknown_step", "the step is closed"));
    return connection::http::jsonResponse(200, "{}");
}

auto StepSession::drain() -> void
{
    m_draining = true;
    m_machine.stopStarting();
    m_wake.cancel();
}

} // namespace nutmegplank::request::step
