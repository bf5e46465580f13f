#include "app/gateway/gateway.h"

#include "base/text.h"
#include "process/clock/clock.h"
#include "process/logging/logging.h"
#include "request/refusal/refusal.h"

namespace nutmegplank::app::gateway {

namespace asio = boost::asio;
namespace logging = process::logging;

namespace {

constexpr auto WATCH_PERIOD = std::chrono::milliseconds(250);
constexpr auto WATCHES_PER_REPORT = std::uint64_t(4);
constexpr auto BIRTH_CHECK = std::chrono::milliseconds(20);
constexpr auto SHUTDOWN_CHECK = std::chrono::milliseconds(100);
//! For the last messages to leave the process.
constexpr auto LAST_MESSAGES = std::chrono::milliseconds(200);

auto sleep(base::Duration duration) -> asio::awaitable<void>
{
    auto timer = asio::steady_timer(co_await asio::this_coro::executor);
    timer.expires_after(duration);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

auto cutRefusal(request::refusal::Code code, std::string message) -> request::execution::Refusal
{
    return request::refusal::makeRefusal(code, wire::RAN_UNKNOWN,
                                         { std::move(message), "key.watch", "", 0 });
}

auto toFigure(const request::execution::RequestSpec &spec,
              const request::execution::RequestOutcome &outcome) -> version::state::UsageFigure
{
    auto figure = version::state::UsageFigure();
    figure.workspace = spec.workspace;
    figure.service = spec.service;
    figure.requests = 1;
    figure.promptTokens = outcome.promptTokens;
    figure.generatedTokens = outcome.generatedTokens;
    figure.serverMilliseconds = outcome.serverMilliseconds;
    return figure;
}

auto runnerDependencies(const GatewayDependencies &dependencies,
                        request::quarantine::Quarantine &quarantine)
    -> request::execution::RunnerDependencies
{
    auto &usage = dependencies.usage;
    return { dependencies.link,
             dependencies.membership,
             dependencies.log,
             dependencies.metrics,
             quarantine,
             [&usage](const auto &spec, const auto &outcome) {
                 usage.add(toFigure(spec, outcome));
             } };
}

auto idempotencySettings(const GatewaySettings &settings)
    -> request::idempotency::IdempotencySettings
{
    auto idempotency = request::idempotency::IdempotencySettings();
    idempotency.limits.retention = settings.idempotencyMemory;
    idempotency.majorityTimeout = settings.confirmBound;
    return idempotency;
}

} // namespace

Gateway::Gateway(GatewayDependencies dependencies, const GatewaySettings &settings)
    : m_dependencies(std::move(dependencies))
    , m_quarantine({ settings.quarantineHold },
                   [this](const wire::Quarantine &message) { announce(message); })
    , m_runner(runnerDependencies(m_dependencies, m_quarantine), settings.runner)
    , m_steps(m_dependencies.makeSteps ? m_dependencies.makeSteps(m_runner) : nullptr)
    , m_freshness(m_dependencies.log, m_dependencies.membership, settings.confirmBound)
    , m_callerMetrics(m_dependencies.metrics)
    , m_idempotency(m_dependencies.link, m_dependencies.membership, idempotencySettings(settings))
    , m_forwarder(m_runner, m_runs, m_dependencies.log, m_callerMetrics, m_idempotency)
    , m_handler({ m_dependencies.log, m_dependencies.membership, m_dependencies.metrics,
                  m_freshness, m_callerMetrics, m_forwarder, m_steps.get(), settings.addressKeep })
    , m_reporter({ m_dependencies.link, m_dependencies.membership, m_dependencies.log,
                   m_dependencies.usage, m_runner, m_steps.get() },
                 base::concat(m_dependencies.membership.self().id, "#", m_dependencies.incarnation))
    , m_shutdown(settings.addressKeep)
{ }

auto Gateway::start() -> void
{
    m_dependencies.link.setHandler(
        [this](wire::Envelope message) { onMessage(std::move(message)); });
    m_dependencies.link.setDropHandler([this](const std::string &, const wire::Envelope &message) {
        m_runner.onDropped(message);
    });
    m_dependencies.membership.onChange(
        [this](const process::membership::MemberViewPtr &view) { onMembers(view); });
    m_dependencies.log.onChange(
        [this](const version::state::LogStatePtr &state) { cutWithdrawn(*state); });
    asio::co_spawn(asio::make_strand(m_dependencies.context), watch(), asio::detached);
    asio::co_spawn(asio::make_strand(m_dependencies.context), lookForBirth(), asio::detached);
}

auto Gateway::handle(connection::http::Request request, connection::http::IHttpResponder &responder)
    -> asio::awaitable<void>
{
    return m_handler.handle(std::move(request), responder);
}

auto Gateway::onMembers(const process::membership::MemberViewPtr &view) -> void
{
    m_runner.onMembers(view);
    m_idempotency.onMembers(*view);
}

auto Gateway::onMessage(wire::Envelope message) -> void
{
    if (message.has_quarantine()) {
        m_quarantine.applyRemote(message.quarantine(), process::clock::now());
        return;
    }
    if (message.has_idempotency_request() || message.has_idempotency_answer()) {
        m_idempotency.onMessage(message);
        return;
    }
    m_runner.onMessage(std::move(message));
}

auto Gateway::announce(const wire::Quarantine &message) -> void
{
    logging::warning("request.quarantine",
                     { { "fingerprint", message.fingerprint() }, { "deaths", message.deaths() } });
    const auto view = m_dependencies.membership.view();
    const auto self = m_dependencies.membership.self().id;
    for (const auto &id : view->liveIds(process::membership::Role::Gateway)) {
        if (id == self)
            continue;
        auto envelope = wire::Envelope();
        *envelope.mutable_quarantine() = message;
        static_cast<void>(
            m_dependencies.link.send(view->find(id)->linkAddress, std::move(envelope)));
    }
}

auto Gateway::watch() -> asio::awaitable<void>
{
    for (auto round = std::uint64_t(0);; ++round) {
        const auto now = process::clock::now();
        cutKeys(now);
        if (round % WATCHES_PER_REPORT == 0) {
            m_idempotency.onMembers(*m_dependencies.membership.view());
            m_reporter.tick(now);
        }
        co_await sleep(WATCH_PERIOD);
    }
}

auto Gateway::lookForBirth() -> asio::awaitable<void>
{
    while (m_dependencies.log.lastConfirmed() == base::TimePoint())
        co_await sleep(BIRTH_CHECK);
    if (m_dependencies.log.state()->configuration->services.empty())
        m_idempotency.markStartedWithoutServices();
}

auto Gateway::cutKeys(base::TimePoint now) -> void
{
    if (m_freshness.mayServeKeyed(now))
        return;
    const auto reason = cutRefusal(request::refusal::Code::ConfigurationUnconfirmed,
                                   "this process cannot confirm its configuration");
    const auto cuts =
        m_runs.cancelInvalid([](const std::string &keyId) { return keyId.empty(); }, reason);
    if (cuts > 0)
        logging::warning("requests.cut", { { "reason", reason.code }, { "count", cuts } });
}

auto Gateway::cutWithdrawn(const version::state::LogState &state) -> void
{
    const auto &configuration = *state.configuration;
    const auto isValid = [&configuration](const std::string &keyId) {
        return keyId.empty() || request::admission::isKeyValid(configuration, keyId);
    };
    const auto reason = cutRefusal(request::refusal::Code::KeyWithdrawn, "the key was withdrawn");
    const auto cuts = m_runs.cancelInvalid(isValid, reason);
    if (cuts > 0)
        logging::info("requests.cut", { { "reason", reason.code }, { "count", cuts } });
    for (const auto &[id, key] : configuration.keys) {
        if (key.withdrawn && m_cutKeys.insert(id).second && m_steps)
            m_steps->closeStepsOfKey(id);
    }
}

auto Gateway::shutDown(connection::http::HttpServer &server, std::function<void()> onFinished)
    -> void
{
    logging::info("gateway.leaving");
    m_shutdown.begin(process::clock::now());
    m_handler.leave();
    m_dependencies.membership.leave();
    if (m_steps)
        m_steps->drain();
    asio::co_spawn(asio::make_strand(m_dependencies.context), finish(server, std::move(onFinished)),
                   asio::detached);
}

auto Gateway::finish(connection::http::HttpServer &server, std::function<void()> onFinished)
    -> asio::awaitable<void>
{
    auto drained = false;
    for (;;) {
        const auto load =
            ShutdownLoad { server.activeExchanges(), m_steps ? m_steps->openSteps() : 0,
                           m_runner.openAttempts() };
        const auto stage = m_shutdown.advance(load, process::clock::now());
        if (stage == ShutdownStage::Finishing && !drained) {
            drained = true;
            server.drain();
        }
        if (stage == ShutdownStage::Finished)
            break;
        co_await sleep(SHUTDOWN_CHECK);
    }
    m_reporter.sendUsage();
    co_await sleep(LAST_MESSAGES);
    logging::info("gateway.finished");
    onFinished();
}

} // namespace nutmegplank::app::gateway
