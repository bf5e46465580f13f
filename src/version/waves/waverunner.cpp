#include "version/waves/waverunner.h"

#include <boost/asio.hpp>

#include "base/status.h"
#include "process/logging/logging.h"

namespace nutmegplank::version::waves {

namespace {

namespace asio = boost::asio;
namespace logging = process::logging;

constexpr auto USE_TUPLE = asio::as_tuple(asio::use_awaitable);
constexpr auto TICK = std::chrono::milliseconds(50);
//! A load takes 0.9 s; asking earlier costs a probe and tells nothing.
constexpr auto FIRST_CHECK = std::chrono::milliseconds(930);
constexpr auto NEXT_CHECK = std::chrono::milliseconds(150);
//! An order without an answer that the engine has not counted by now is sent again. Both expect the
//! same sequence number, so that only one of them takes effect.
constexpr auto UNANSWERED = std::chrono::milliseconds(1600);
//! An engine that shows neither an order under way nor the version has dropped it.
constexpr auto DROPPED = std::chrono::milliseconds(1500);
constexpr auto RETRY_PAUSE = std::chrono::milliseconds(250);

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
    asio::co_spawn(m_context, loop(), asio::detached);
}

auto WaveRunner::loop() -> asio::awaitable<void>
{
    auto timer = asio::steady_timer(m_context);
    while (true) {
        const auto inCharge = m_hooks.fence(m_hooks.now()).has_value();
        timer.expires_after(inCharge ? TICK : TICK * 4);
        co_await timer.async_wait(USE_TUPLE);
        tick(m_hooks.now());
    }
}

auto WaveRunner::tick(base::TimePoint now) -> void
{
    const auto fence = m_hooks.fence(now);
    if (!fence.has_value() || *fence <= m_fencedOff) {
        if (!fence.has_value() && m_open.empty())
            return;
        const auto open = std::move(m_open);
        m_open.clear();
        for (const auto &[engine, order] : open)
            m_hooks.onLoading(engine, false);
        return;
    }
    const auto engines = m_hooks.engines();
    followOpen(engines, now);
    planNew(engines, *fence, now);
}

auto WaveRunner::followOpen(const std::vector<OrderableEngine> &engines, base::TimePoint now)
    -> void
{
    auto gone = std::vector<std::string>();
    for (auto &[id, open] : m_open) {
        const auto found = std::ranges::find_if(
            engines, [&id = id](const OrderableEngine &engine) { return engine.id == id; });
        if (found == engines.end() || found->incarnation != open.incarnation) {
            gone.push_back(id);
            continue;
        }
        const auto version = found->versions.find(open.order.model);
        if (version != found->versions.end() && version->second >= open.order.version) {
            m_loadSeconds.record(now - open.sentAt);
            gone.push_back(id);
            continue;
        }
        if (open.asking || now < open.nextCheck)
            continue;
        open.asking = true;
        asio::co_spawn(m_context, check(*found), asio::detached);
    }
    for (const auto &id : gone)
        close(id, "done or gone", base::Duration(0));
}

auto WaveRunner::close(const std::string &engine, std::string_view reason, base::Duration pause)
    -> void
{
    const auto found = m_open.find(engine);
    if (found == m_open.end())
        return;
    logging::debug(
        "weights.order_closed",
        { { "server", engine }, { "version", found->second.order.version }, { "reason", reason } });
    m_open.erase(found);
    m_hooks.onLoading(engine, false);
    if (pause.count() > 0)
        m_notBefore[engine] = m_hooks.now() + pause;
}

auto WaveRunner::planNew(const std::vector<OrderableEngine> &engines, std::uint64_t fence,
                         base::TimePoint now) -> void
{
    auto inputs = std::map<std::string, WaveInput>();
    for (const auto &engine : engines) {
        auto entry = WaveEngine { engine.id, engine.versions, engine.running };
        entry.loading = m_open.contains(engine.id);
        const auto pause = m_notBefore.find(engine.id);
        const auto accepted = m_accepted.find(engine.id);
        const auto known =
            accepted != m_accepted.end() && accepted->second.incarnation == engine.incarnation;
        const auto paused = pause != m_notBefore.end() && now < pause->second;
        entry.orderable = known && engine.reachable && !paused;
        if (!known && engine.reachable && !paused && m_learning.insert(engine.id).second)
            asio::co_spawn(m_context, learn(engine), asio::detached);
        inputs[engine.service].engines.push_back(std::move(entry));
    }
    for (auto &[service, input] : inputs) {
        input.named = m_hooks.named();
        input.demand = m_hooks.demand();
        input.now = now;
        for (const auto &[model, version] : input.named)
            input.needed[model] = m_hooks.needed(model);
        for (const auto &wanted : m_planners[service].decide(input)) {
            const auto engine =
                std::ranges::find_if(engines, [&](const OrderableEngine &candidate) {
                    return candidate.id == wanted.engine;
                });
            auto order =
                WeightOrder { wanted.engine, engine->endpoint, wanted.model, wanted.version };
            order.strategy = m_hooks.strategy(service);
            order.fence = fence;
            order.expectedSequence = m_accepted.at(engine->id).count;
            m_open[engine->id] = OpenOrder { order, engine->incarnation, now, now + FIRST_CHECK };
            m_hooks.onLoading(engine->id, true);
            asio::co_spawn(m_context, send(*engine, std::move(order)), asio::detached);
        }
    }
}

auto WaveRunner::send(OrderableEngine engine, WeightOrder order) -> asio::awaitable<void>
{
    m_orders.add();
    const auto outcome = co_await m_control.order(order);
    logOrder(order, outcome);
    const auto found = m_open.find(order.engine);
    if (found == m_open.end() || found->second.order.version != order.version)
        co_return;
    const auto now = m_hooks.now();
    switch (outcome) {
    case OrderOutcome::Accepted:
        found->second.answered = true;
        found->second.nextCheck = now + FIRST_CHECK;
        m_accepted[order.engine] = { engine.incarnation, order.expectedSequence.value_or(0) + 1 };
        co_return;
    case OrderOutcome::AlreadyHolds:
        m_hooks.onVersion(engine, order.model, order.version);
        co_return;
    case OrderOutcome::Conflict:
        // Its sequence number or another order under way: its report tells which.
        found->second.nextCheck = now;
        co_return;
    case OrderOutcome::Fenced:
        m_fencedOff = std::max(m_fencedOff, order.fence);
        close(order.engine, "a higher fencing number was seen", RETRY_PAUSE);
        co_return;
    case OrderOutcome::WrongServer:
    case OrderOutcome::Rejected:
    case OrderOutcome::NotSent:
        close(order.engine, "not taken", RETRY_PAUSE);
        co_return;
    case OrderOutcome::NoAnswer:
        found->second.nextCheck = now;
        co_return;
    }
}

auto WaveRunner::learn(OrderableEngine engine) -> asio::awaitable<void>
{
    const auto report = co_await m_control.report(engine.id, engine.endpoint);
    m_learning.erase(engine.id);
    if (!report.ok()) {
        m_notBefore[engine.id] = m_hooks.now() + RETRY_PAUSE;
        logging::warning(
            "weights.report_failed",
            { { "server", engine.id }, { "problem", base::describe(report.status()) } });
        co_return;
    }
    m_accepted[engine.id] = { engine.incarnation, report->sequence };
    for (const auto &[model, version] : report->versions)
        m_hooks.onVersion(engine, model, version);
}

auto WaveRunner::check(OrderableEngine engine) -> asio::awaitable<void>
{
    const auto report = co_await m_control.report(engine.id, engine.endpoint);
    const auto now = m_hooks.now();
    const auto found = m_open.find(engine.id);
    if (found == m_open.end())
        co_return;
    found->second.asking = false;
    found->second.nextCheck = now + NEXT_CHECK;
    if (!report.ok()) {
        logging::warning(
            "weights.report_failed",
            { { "server", engine.id }, { "problem", base::describe(report.status()) } });
        if (now - found->second.sentAt > UNANSWERED + DROPPED)
            close(engine.id, "unreachable", RETRY_PAUSE);
        co_return;
    }
    judge(engine, *report, now);
}

auto WaveRunner::judge(const OrderableEngine &engine, const EngineReport &report,
                       base::TimePoint now) -> void
{
    m_accepted[engine.id] = { engine.incarnation, report.sequence };
    for (const auto &[model, version] : report.versions)
        m_hooks.onVersion(engine, model, version);
    auto &open = m_open.at(engine.id);
    const auto version = report.versions.find(open.order.model);
    if (version != report.versions.end() && version->second >= open.order.version) {
        m_loadSeconds.record(now - open.sentAt);
        close(engine.id, "the engine shows the version", base::Duration(0));
        return;
    }
    if (report.busy)
        return;
    const auto age = now - open.sentAt;
    const auto counted = report.sequence > open.order.expectedSequence.value_or(0);
    if (counted && age > DROPPED)
        close(engine.id, "taken and dropped", base::Duration(0));
    else if (!counted && age > UNANSWERED)
        close(engine.id, "not taken in time", base::Duration(0));
}

} // namespace nutmegplank::version::waves
