#include "version/orders/orderrunner.h"

#include "base/hash.h"
#include "base/status.h"
#include "base/text.h"
#include "process/clock/clock.h"
#include "process/logging/logging.h"
#include "version/orders/internal/orderloop.h"

namespace nutmegplank::version::orders {

namespace {

namespace asio = boost::asio;
using process::metrics::Labels;

constexpr auto APPEND_TIMEOUT = base::Duration(std::chrono::seconds(5));
constexpr auto HOLD_INTERVAL = base::Duration(std::chrono::seconds(2));
constexpr auto TRACK_INTERVAL = base::Duration(std::chrono::milliseconds(500));
constexpr auto MAX_CONCURRENT_CALLS = std::size_t(16);

auto zoneLabel(const std::string &zone) -> Labels
{
    return { { "zone", zone } };
}

} // namespace

OrderRunner::OrderRunner(asio::io_context &context, OrderDependencies dependencies,
                         OrderOptions options)
    : m_loop(std::make_shared<Loop>(context, std::move(dependencies), std::move(options)))
{
    m_loop->start();
}

OrderRunner::~OrderRunner()
{
    m_loop->stop();
}

OrderRunner::Loop::Loop(asio::io_context &context, OrderDependencies dependencies,
                        OrderOptions options)
    : m_strand(asio::make_strand(context))
    , m_timer(m_strand)
    , m_dependencies(std::move(dependencies))
    , m_options(std::move(options))
    , m_zoneOrders(m_options.times)
    , m_intentsWritten(m_dependencies.metrics.counter("controller_order_intents_total",
                                                      "Order intents written to the log.",
                                                      zoneLabel(m_options.zone)))
    , m_callsSent(m_dependencies.metrics.counter("controller_order_calls_total",
                                                 "Orders sent to the platform, repeats included.",
                                                 zoneLabel(m_options.zone)))
    , m_unclearAnswers(m_dependencies.metrics.counter(
          "controller_order_unclear_total", "Orders whose answer was lost or made no sense.",
          zoneLabel(m_options.zone)))
{ }

auto OrderRunner::Loop::start() -> void
{
    asio::co_spawn(
        m_strand, [self = shared_from_this()] { return self->run(); }, asio::detached);
}

auto OrderRunner::Loop::stop() -> void
{
    m_stopped = true;
    asio::post(m_strand, [self = shared_from_this()] { self->m_timer.cancel(); });
}

auto OrderRunner::Loop::run() -> asio::awaitable<void>
{
    while (!m_stopped) {
        tick(process::clock::now());
        m_timer.expires_after(m_options.period);
        co_await m_timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

auto OrderRunner::Loop::makeInput(base::TimePoint now) -> ZoneInput
{
    const auto state = m_dependencies.log.state();
    std::erase_if(m_pendingIntents,
                  [&](const auto &entry) { return state->orders.contains(entry.first); });
    auto input = ZoneInput();
    input.zone = m_options.zone;
    input.outOfService = state->configuration->isZoneOut(m_options.zone);
    input.targets = state->plan.targets;
    input.servers = m_dependencies.inventory.view();
    for (const auto &[id, order] : state->orders) {
        if (order.zone == m_options.zone)
            input.orders.emplace(id, order);
    }
    for (const auto &[id, order] : m_pendingIntents)
        input.pendingIntents.push_back(order);
    input.loads = m_dependencies.reports.servers(now);
    input.now = now;
    return input;
}

auto OrderRunner::Loop::tick(base::TimePoint now) -> void
{
    const auto number = m_dependencies.caller.observe(now);
    if (number != m_fencingNumber) {
        m_zoneOrders.resetForTakeover();
        m_pendingIntents.clear();
    }
    m_fencingNumber = number;
    if (!number || !m_dependencies.caller.mayCall(now, m_options.ordering.checksFencing)) {
        trackWithoutLease(now);
        return;
    }
    const auto input = makeInput(now);
    const auto decision = m_zoneOrders.decide(input);
    requestHold(decision.serversToHold, now);
    for (const auto &order : decision.intents)
        startOrder(order, *number);
    for (const auto &order : decision.ordersToSend) {
        if (m_inFlight.size() >= MAX_CONCURRENT_CALLS || !m_inFlight.insert(order.orderId).second)
            continue;
        asio::co_spawn(
            m_strand,
            [self = shared_from_this(), order, outOfService = input.outOfService] {
                return self->send(order, outOfService);
            },
            asio::detached);
    }
}

auto OrderRunner::Loop::trackWithoutLease(base::TimePoint now) -> void
{
    if (now - m_lastTrackTime < TRACK_INTERVAL)
        return;
    m_lastTrackTime = now;
    m_zoneOrders.trackOrders(makeInput(now));
}

auto OrderRunner::Loop::startOrder(const NewOrder &order, std::uint64_t fencingNumber) -> void
{
    auto newOrder = state::OrderState();
    newOrder.orderId = base::concat(m_options.zone, "-", base::randomId());
    newOrder.kind = order.kind;
    newOrder.service = order.service;
    newOrder.zone = m_options.zone;
    newOrder.cheap = order.cheap;
    newOrder.server = order.server;
    m_pendingIntents[newOrder.orderId] = newOrder;
    asio::co_spawn(
        m_strand,
        [self = shared_from_this(), newOrder, fencingNumber] {
            return self->writeIntent(newOrder, fencingNumber);
        },
        asio::detached);
}

auto OrderRunner::Loop::writeIntent(state::OrderState order, std::uint64_t fencingNumber)
    -> asio::awaitable<void>
{
    const auto recordId = base::concat(order.orderId, "/intent");
    // After a failed append the record may or may not be in the log, and the order keeps counting
    // as capacity. So the same record is retried until it is read back or the lease changes hands.
    while (!m_stopped && m_fencingNumber == fencingNumber
           && m_pendingIntents.contains(order.orderId)) {
        auto record = intentRecord(order, fencingNumber, m_dependencies.caller.scope());
        const auto appended = co_await m_dependencies.log.append(
            state::RecordKind::OrderIntent, recordId, std::move(record), APPEND_TIMEOUT);
        if (appended.ok()) {
            m_intentsWritten.add();
            co_return;
        }
        process::logging::warning(
            "orders.intent_append_failed",
            { { "order", order.orderId }, { "problem", base::describe(appended.status()) } });
        auto pause = asio::steady_timer(m_strand, m_options.period);
        co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

auto OrderRunner::Loop::callOrdering(state::OrderState order, bool zoneOut)
    -> asio::awaitable<OrderResult>
{
    // No servers are created in a zone that is out of service: the order is only queried,
    // and dropped if the platform never received it.
    const auto queryOnly = zoneOut && order.kind == state::OrderKind::Create;
    const auto scope = m_dependencies.caller.scope();
    auto buildRequest = command::FencedRequest([order, scope, queryOnly](std::uint64_t number) {
        return queryOnly ? orderQuery(order) : orderRequest(order, number, scope);
    });
    m_callsSent.add();
    const auto response =
        co_await m_dependencies.caller.call(m_options.ordering, std::move(buildRequest));
    if (!response.ok()) {
        process::logging::warning(
            "orders.call_failed",
            { { "order", order.orderId }, { "problem", base::describe(response.status()) } });
        co_return OrderResult();
    }
    auto result = parseAnswer(*response);
    if (result.answer == OrderAnswer::NotFound && !queryOnly)
        result.answer = OrderAnswer::Refused;
    if (result.answer == OrderAnswer::Unclear)
        process::logging::warning("orders.unclear_answer",
                                  { { "order", order.orderId }, { "status", response->status } });
    co_return result;
}

auto OrderRunner::Loop::send(state::OrderState order, bool zoneOut) -> asio::awaitable<void>
{
    const auto result = co_await callOrdering(order, zoneOut);
    if (result.answer == OrderAnswer::Unclear)
        m_unclearAnswers.add();
    else
        co_await recordOutcome(order, result);
    m_inFlight.erase(order.orderId);
}

auto OrderRunner::Loop::recordOutcome(state::OrderState order, OrderResult result)
    -> asio::awaitable<void>
{
    if (order.kind == state::OrderKind::Create && result.answer == OrderAnswer::Refused)
        m_zoneOrders.onCreateRefused(order.service, order.cheap, process::clock::now());
    if (order.kind == state::OrderKind::Create && result.answer == OrderAnswer::Done)
        m_zoneOrders.onCreateDone(order.service, order.cheap);
    if (order.kind == state::OrderKind::Release)
        result.server = order.server;
    const auto recordId = base::concat(order.orderId, "/outcome");
    auto record = outcomeRecord(order, result);
    const auto appended = co_await m_dependencies.log.append(
        state::RecordKind::OrderOutcome, recordId, std::move(record), APPEND_TIMEOUT);
    if (!appended.ok()) {
        process::logging::warning(
            "orders.outcome_append_failed",
            { { "order", order.orderId }, { "problem", base::describe(appended.status()) } });
        co_return;
    }
    process::logging::info(
        "orders.completed",
        { { "order", order.orderId }, { "service", order.service }, { "server", result.server } });
}

auto OrderRunner::Loop::requestHold(const std::vector<std::string> &servers, base::TimePoint now)
    -> void
{
    if (servers.empty() || now - m_lastHoldTime < HOLD_INTERVAL)
        return;
    m_lastHoldTime = now;
    m_dependencies.holdServers(servers);
}

} // namespace nutmegplank::version::orders
