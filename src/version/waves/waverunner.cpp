#include "version/waves/waverunner.h"

#include <boost/asio.hpp>

#include "base/status.h"
#include "process/logging/logging.h"
#include "process/logging/taskfailure.h"

namespace nutmegplank::version::waves {

namespace {

namespace asio = boost::asio;
namespace logging = process::logging;

constexpr auto USE_TUPLE = asio::as_tuple(asio::use_awaitable);
constexpr auto TICK_INTERVAL = std::chrono::milliseconds(50);
//! A load takes 0.9 s; an earlier check costs a probe and cannot show the version yet.
constexpr auto FIRST_CHECK_DELAY = std::chrono::milliseconds(930);
constexpr auto CHECK_INTERVAL = std::chrono::milliseconds(150);
//! After this time an unanswered order that the engine has not counted is sent again. Both orders
//! expect the same sequence number, so only one of them takes effect.
constexpr auto UNANSWERED_TIMEOUT = std::chrono::milliseconds(1600);
//! After this time an accepted order is treated as dropped if the engine reports neither an order
//! in progress nor the version.
constexpr auto DROPPED_TIMEOUT = std::chrono::milliseconds(1500);
constexpr auto RETRY_DELAY = std::chrono::milliseconds(250);

auto logOrder(const WeightOrder &order, OrderOutcome outcome) -> void
{
    logging::info("weights.order",
                  { { "server", order.engine },
                    { "model", order.model },
                    { "version", order.version },
                    { "strategy", base::nameOf(LOAD_STRATEGY_NAMES, order.strategy) },
                    { "fence", order.fence },
                    { "expected", order.expectedSequence.value_or(0) },
                    { "outcome", base::nameOf(ORDER_OUTCOME_NAMES, outcome) } });
}

} // namespace

WaveRunner::WaveRunner(asio::io_context &context, IEngineControl &control, WaveRunnerHooks hooks,
                       process::metrics::Registry &metrics)
    : m_context(context)
    , m_control(control)
    , m_hooks(std::move(hooks))
    , m_orders(metrics.counter("nutmegplank_weight_orders_total", "Orders to load weights."))
    , m_loadSeconds(metrics.distribution("nutmegplank_weight_load_seconds",
                                         "From an order to the version shown."))
{ }

auto WaveRunner::start() -> void
{
    asio::co_spawn(m_context, loop(), logging::LogTaskFailure("weights.loop"));
}

auto WaveRunner::loop() -> asio::awaitable<void>
{
    auto timer = asio::steady_timer(m_context);
    while (true) {
        const auto holdsLease = m_hooks.fence(m_hooks.now()).has_value();
        timer.expires_after(holdsLease ? TICK_INTERVAL : TICK_INTERVAL * 4);
        co_await timer.async_wait(USE_TUPLE);
        tick(m_hooks.now());
    }
}

auto WaveRunner::tick(base::TimePoint now) -> void
{
    const auto fence = m_hooks.fence(now);
    if (!fence.has_value() || *fence <= m_rejectedFence) {
        if (!fence.has_value() && m_openOrders.empty())
            return;
        const auto open = std::move(m_openOrders);
        m_openOrders.clear();
        for (const auto &[engine, order] : open)
            m_hooks.onLoading(engine, false);
        return;
    }
    const auto engines = m_hooks.engines();
    updateOpenOrders(engines, now);
    planOrders(engines, *fence, now);
}

auto WaveRunner::updateOpenOrders(const std::vector<OrderableEngine> &engines, base::TimePoint now)
    -> void
{
    auto finished = std::vector<std::string>();
    for (auto &[id, open] : m_openOrders) {
        const auto found = std::ranges::find_if(
            engines, [&id = id](const OrderableEngine &engine) { return engine.id == id; });
        if (found == engines.end() || found->incarnation != open.incarnation) {
            finished.push_back(id);
            continue;
        }
        const auto version = found->versions.find(open.order.model);
        if (version != found->versions.end() && version->second >= open.order.version) {
            m_loadSeconds.record(now - open.sentAt);
            finished.push_back(id);
            continue;
        }
        if (open.checking || now < open.nextCheck || !found->mayCall)
            continue;
        open.checking = true;
        asio::co_spawn(m_context, checkOrder(*found), logging::LogTaskFailure("weights.check"));
    }
    for (const auto &id : finished)
        closeOrder(id, "completed, or the engine was removed or restarted", base::Duration(0));
}

auto WaveRunner::closeOrder(const std::string &engine, std::string_view reason,
                            base::Duration retryDelay) -> void
{
    const auto found = m_openOrders.find(engine);
    if (found == m_openOrders.end())
        return;
    logging::debug(
        "weights.order_closed",
        { { "server", engine }, { "version", found->second.order.version }, { "reason", reason } });
    m_openOrders.erase(found);
    m_hooks.onLoading(engine, false);
    if (retryDelay.count() > 0)
        m_retryAfter[engine] = m_hooks.now() + retryDelay;
}

auto WaveRunner::planOrders(const std::vector<OrderableEngine> &engines, std::uint64_t fence,
                            base::TimePoint now) -> void
{
    auto inputs = std::map<std::string, WaveInput>();
    for (const auto &engine : engines) {
        auto entry = WaveEngine { engine.id, engine.versions, engine.running };
        entry.loading = m_openOrders.contains(engine.id);
        const auto retryDelay = m_retryAfter.find(engine.id);
        const auto accepted = m_acceptedOrders.find(engine.id);
        const auto known = accepted != m_acceptedOrders.end()
            && accepted->second.incarnation == engine.incarnation;
        const auto paused = retryDelay != m_retryAfter.end() && now < retryDelay->second;
        const auto callable = engine.reachable && engine.mayCall && !paused;
        entry.orderable = known && callable;
        if (!known && callable && m_fetchingAccepted.insert(engine.id).second)
            asio::co_spawn(m_context, fetchAcceptedOrders(engine),
                           logging::LogTaskFailure("weights.report"));
        inputs[engine.service].engines.push_back(std::move(entry));
    }
    for (auto &[service, input] : inputs) {
        input.newestVersions = m_hooks.publishedVersions();
        input.demand = m_hooks.demand();
        input.now = now;
        for (const auto &[model, version] : input.newestVersions)
            input.minimumVersions[model] = m_hooks.minimumVersion(model);
        for (const auto &planned : m_planners[service].decide(input)) {
            const auto engine =
                std::ranges::find_if(engines, [&](const OrderableEngine &candidate) {
                    return candidate.id == planned.engine;
                });
            auto order =
                WeightOrder { planned.engine, engine->endpoint, planned.model, planned.version };
            order.strategy = m_hooks.strategy(service);
            order.fence = fence;
            order.expectedSequence = m_acceptedOrders.at(engine->id).count;
            m_openOrders[engine->id] =
                OpenOrder { order, engine->incarnation, now, now + FIRST_CHECK_DELAY };
            m_hooks.onLoading(engine->id, true);
            asio::co_spawn(m_context, send(*engine, std::move(order)),
                           logging::LogTaskFailure("weights.send"));
        }
    }
}

auto WaveRunner::send(OrderableEngine engine, WeightOrder order) -> asio::awaitable<void>
{
    m_orders.add();
    m_hooks.onCall(order.engine);
    const auto outcome = co_await m_control.order(order);
    logOrder(order, outcome);
    const auto found = m_openOrders.find(order.engine);
    if (found == m_openOrders.end() || found->second.order.version != order.version)
        co_return;
    const auto now = m_hooks.now();
    switch (outcome) {
    case OrderOutcome::Accepted:
        found->second.acknowledged = true;
        found->second.nextCheck = now + FIRST_CHECK_DELAY;
        m_acceptedOrders[order.engine] = { engine.incarnation,
                                           order.expectedSequence.value_or(0) + 1 };
        co_return;
    case OrderOutcome::AlreadyLoaded:
        m_hooks.onVersion(engine, order.model, order.version);
        co_return;
    case OrderOutcome::Conflict:
        // Either the sequence number differs or another order is in progress; the report shows
        // which.
        found->second.nextCheck = now;
        co_return;
    case OrderOutcome::Fenced:
        m_rejectedFence = std::max(m_rejectedFence, order.fence);
        closeOrder(order.engine, "the engine has seen a higher fencing number", RETRY_DELAY);
        co_return;
    case OrderOutcome::WrongServer:
    case OrderOutcome::Rejected:
    case OrderOutcome::NotSent:
        closeOrder(order.engine, "the order was refused or not sent", RETRY_DELAY);
        co_return;
    case OrderOutcome::NoAnswer:
        found->second.nextCheck = now;
        co_return;
    }
}

auto WaveRunner::fetchAcceptedOrders(OrderableEngine engine) -> asio::awaitable<void>
{
    m_hooks.onCall(engine.id);
    const auto report = co_await m_control.report(engine.id, engine.endpoint);
    m_fetchingAccepted.erase(engine.id);
    if (!report.ok()) {
        m_retryAfter[engine.id] = m_hooks.now() + RETRY_DELAY;
        logging::warning(
            "weights.report_failed",
            { { "server", engine.id }, { "problem", base::describe(report.status()) } });
        co_return;
    }
    m_acceptedOrders[engine.id] = { engine.incarnation, report->sequence };
    for (const auto &[model, version] : report->versions)
        m_hooks.onVersion(engine, model, version);
}

auto WaveRunner::checkOrder(OrderableEngine engine) -> asio::awaitable<void>
{
    m_hooks.onCall(engine.id);
    const auto report = co_await m_control.report(engine.id, engine.endpoint);
    const auto now = m_hooks.now();
    const auto found = m_openOrders.find(engine.id);
    if (found == m_openOrders.end())
        co_return;
    found->second.checking = false;
    found->second.nextCheck = now + CHECK_INTERVAL;
    if (!report.ok()) {
        logging::warning(
            "weights.report_failed",
            { { "server", engine.id }, { "problem", base::describe(report.status()) } });
        if (now - found->second.sentAt > UNANSWERED_TIMEOUT + DROPPED_TIMEOUT)
            closeOrder(engine.id, "the engine is unreachable", RETRY_DELAY);
        co_return;
    }
    evaluateReport(engine, *report, now);
}

auto WaveRunner::evaluateReport(const OrderableEngine &engine, const EngineReport &report,
                                base::TimePoint now) -> void
{
    m_acceptedOrders[engine.id] = { engine.incarnation, report.sequence };
    for (const auto &[model, version] : report.versions)
        m_hooks.onVersion(engine, model, version);
    auto &open = m_openOrders.at(engine.id);
    const auto version = report.versions.find(open.order.model);
    if (version != report.versions.end() && version->second >= open.order.version) {
        m_loadSeconds.record(now - open.sentAt);
        closeOrder(engine.id, "the engine reports the version", base::Duration(0));
        return;
    }
    if (report.busy)
        return;
    const auto age = now - open.sentAt;
    const auto wasAccepted = report.sequence > open.order.expectedSequence.value_or(0);
    if (wasAccepted && age > DROPPED_TIMEOUT)
        closeOrder(engine.id, "the engine accepted the order but dropped it", base::Duration(0));
    else if (!wasAccepted && age > UNANSWERED_TIMEOUT)
        closeOrder(engine.id, "the engine did not accept the order in time", base::Duration(0));
}

} // namespace nutmegplank::version::waves
