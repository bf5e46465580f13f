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

constexpr auto APPEND_TIME = base::Duration(std::chrono::seconds(5));
constexpr auto HOLD_EVERY = base::Duration(std::chrono::seconds(2));
constexpr auto MOST_CALLS = std::size_t(16); //!< Under way at a time.

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
    , m_decider(m_options.times)
    , m_intents(m_dependencies.metrics.counter("controller_order_intents_total",
                                               "Order intents written to the log.",
                                               zoneLabel(m_options.zone)))
    , m_calls(m_dependencies.metrics.counter("controller_order_calls_total",
                                             "Orders sent to the platform, repeats included.",
                                             zoneLabel(m_options.zone)))
    , m_unclear(m_dependencies.metrics.counter("controller_order_unclear_total",
                                               "Orders whose answer was lost or made no sense.",
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
    std::erase_if(m_writing,
                  [&](const auto &entry) { return state->orders.contains(entry.first); });
    auto input = ZoneInput();
    input.zone = m_options.zone;
    input.out = state->configuration->isZoneOut(m_options.zone);
    input.targets = state->plan.targets;
    input.servers = m_dependencies.inventory.view();
    input.orders = state->orders;
    for (const auto &[id, order] : m_writing)
        input.writing.push_back(order);
    input.loads = m_dependencies.reports.servers(now);
    input.now = now;
    return input;
}

auto OrderRunner::Loop::tick(base::TimePoint now) -> void
{
    const auto number = m_dependencies.caller.observe(now);
    if (number != m_number) {
        m_decider = ZoneOrders(m_options.times);
        m_writing.clear();
    }
    m_number = number;
    if (!number || !m_dependencies.caller.mayCall(now, m_options.ordering.checksFencing))
        return;
    const auto input = makeInput(now);
    const auto decision = m_decider.decide(input);
    holdServers(decision.hold, now);
    for (const auto &order : decision.intents)
        begin(order, *number);
    for (const auto &order : decision.send) {
        if (m_sending.size() >= MOST_CALLS || !m_sending.insert(order.orderId).second)
            continue;
        asio::co_spawn(
            m_strand,
            [self = shared_from_this(), order, out = input.out] { return self->send(order, out); },
            asio::detached);
    }
}

auto OrderRunner::Loop::begin(const NewOrder &order, std::uint64_t fencingNumber) -> void
{
    auto made = state::OrderState();
    made.orderId = base::concat(m_options.zone, "-", base::randomId());
    made.kind = order.kind;
    made.service = order.service;
    made.zone = m_options.zone;
    made.cheap = order.cheap;
    made.server = order.server;
    m_writing[made.orderId] = made;
    asio::co_spawn(
        m_strand,
        [self = shared_from_this(), made, fencingNumber] {
            return self->writeIntent(made, fencingNumber);
        },
        asio::detached);
}

auto OrderRunner::Loop::writeIntent(state::OrderState order, std::uint64_t fencingNumber)
    -> asio::awaitable<void>
{
    const auto recordId = base::concat(order.orderId, "/intent");
    // While it is not known whether the record stands, the order counts as capacity; so the same
    // record is tried until it is read back or another process is in charge.
    while (!m_stopped && m_number == fencingNumber && m_writing.contains(order.orderId)) {
        auto record = intentRecord(order, fencingNumber, m_dependencies.caller.scope());
        const auto appended = co_await m_dependencies.log.append(
            state::RecordKind::OrderIntent, recordId, std::move(record), APPEND_TIME);
        if (appended.ok()) {
            m_intents.add();
            co_return;
        }
        process::logging::warning(
            "orders.intent_not_written",
            { { "order", order.orderId }, { "problem", base::describe(appended.status()) } });
        auto pause = asio::steady_timer(m_strand, m_options.period);
        co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

auto OrderRunner::Loop::ask(state::OrderState order, bool zoneOut) -> asio::awaitable<OrderResult>
{
    // In a zone that is out nothing is created any more: an order that never arrived is dropped.
    const auto onlyLook = zoneOut && order.kind == state::OrderKind::Create;
    const auto scope = m_dependencies.caller.scope();
    auto build = command::FencedRequest([order, scope, onlyLook](std::uint64_t number) {
        return onlyLook ? orderQuery(order) : orderRequest(order, number, scope);
    });
    m_calls.add();
    const auto response = co_await m_dependencies.caller.call(m_options.ordering, std::move(build));
    if (!response.ok()) {
        process::logging::warning(
            "orders.no_answer",
            { { "order", order.orderId }, { "problem", base::describe(response.status()) } });
        co_return OrderResult();
    }
    auto result = readAnswer(*response);
    if (result.answer == OrderAnswer::Absent && !onlyLook)
        result.answer = OrderAnswer::Refused;
    if (result.answer == OrderAnswer::Unclear)
        process::logging::warning("orders.not_taken",
                                  { { "order", order.orderId }, { "status", response->status } });
    co_return result;
}

auto OrderRunner::Loop::send(state::OrderState order, bool zoneOut) -> asio::awaitable<void>
{
    const auto result = co_await ask(order, zoneOut);
    if (result.answer == OrderAnswer::Unclear)
        m_unclear.add();
    else
        co_await settle(order, result);
    m_sending.erase(order.orderId);
}

auto OrderRunner::Loop::settle(state::OrderState order, OrderResult result) -> asio::awaitable<void>
{
    if (order.kind == state::OrderKind::Create && result.answer == OrderAnswer::Refused)
        m_decider.refused(order.service, order.cheap, process::clock::now());
    if (order.kind == state::OrderKind::Create && result.answer == OrderAnswer::Done)
        m_decider.made(order.service, order.cheap);
    if (order.kind == state::OrderKind::Release)
        result.server = order.server;
    const auto recordId = base::concat(order.orderId, "/outcome");
    auto record = outcomeRecord(order, result);
    const auto appended = co_await m_dependencies.log.append(
        state::RecordKind::OrderOutcome, recordId, std::move(record), APPEND_TIME);
    if (!appended.ok()) {
        process::logging::warning(
            "orders.outcome_not_written",
            { { "order", order.orderId }, { "problem", base::describe(appended.status()) } });
        co_return;
    }
    process::logging::info(
        "orders.settled",
        { { "order", order.orderId }, { "service", order.service }, { "server", result.server } });
}

auto OrderRunner::Loop::holdServers(const std::vector<std::string> &servers, base::TimePoint now)
    -> void
{
    if (servers.empty() || now - m_lastHold < HOLD_EVERY)
        return;
    m_lastHold = now;
    m_dependencies.hold(servers);
}

} // namespace nutmegplank::version::orders
