#include "version/weights/weightrunner.h"

#include <atomic>

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include "base/status.h"
#include "process/clock/clock.h"
#include "process/logging/logging.h"
#include "version/weights/enginestatus.h"

namespace nutmegplank::version::weights {

namespace {

namespace asio = boost::asio;
namespace http = connection::http;

constexpr auto HOLD_INTERVAL = base::Duration(std::chrono::seconds(2));
constexpr auto MAX_POLLS_PER_TICK = std::size_t(32);
constexpr auto HTTP_OK = 200U;
constexpr auto HTTP_ACCEPTED = 202U;

auto makeOrderRequest(const EngineOrder &order, std::uint64_t fencingNumber) -> http::Request
{
    auto body = boost::json::object {
        { "order_id", order.orderId },
        { "fencing_number", fencingNumber },
        { "kind", base::nameOf(ENGINE_ORDER_KIND_NAMES, order.kind) },
        { "model", order.model },
    };
    if (order.kind == EngineOrderKind::LoadWeights) {
        body["version"] = order.version;
        body["source"] = order.source;
    }
    if (order.kind == EngineOrderKind::LoadAdapter)
        body["adapter"] = order.adapter;
    auto request = http::Request();
    request.method = "POST";
    request.target = "/v1/orders";
    request.headers.push_back({ "Content-Type", "application/json" });
    request.body = boost::json::serialize(body);
    return request;
}

//! Number of services that share the concurrent loads of the weight store; at least 1.
auto countServicesWithWeights(const state::LogState &state) -> std::uint32_t
{
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(state.weights.size()));
}

} // namespace

class WeightRunner::Loop : public std::enable_shared_from_this<Loop>
{
public:
    Loop(asio::io_context &context, WeightDependencies dependencies, WeightOptions options)
        : m_strand(asio::make_strand(context))
        , m_timer(m_strand)
        , m_dependencies(std::move(dependencies))
        , m_options(std::move(options))
        , m_scheduler(m_options.timing)
        , m_ordersSent(m_dependencies.metrics.counter(
              "controller_engine_orders_total", "Orders sent to engines, repeats included.",
              process::metrics::Labels { { "service", m_options.service } }))
    { }

    auto start() -> void
    {
        asio::co_spawn(
            m_strand, [self = shared_from_this()] { return self->run(); }, asio::detached);
    }

    auto stop() -> void
    {
        m_stopped = true;
        asio::post(m_strand, [self = shared_from_this()] { self->m_timer.cancel(); });
    }

private:
    auto run() -> asio::awaitable<void>
    {
        while (!m_stopped) {
            tick(process::clock::now());
            m_timer.expires_after(m_options.period);
            co_await m_timer.async_wait(asio::as_tuple(asio::use_awaitable));
        }
    }

    auto tick(base::TimePoint now) -> void
    {
        const auto observedNumber = m_dependencies.caller.observe(now);
        if (observedNumber != m_fencingNumber)
            m_scheduler = WaveScheduler(m_options.timing);
        m_fencingNumber = observedNumber;
        if (!observedNumber)
            return;
        const auto view = m_dependencies.inventory.view();
        m_statuses.keepOnly(*view);
        const auto input = makeInput(*view, now);
        pollEngines(*view, now);
        if (!m_dependencies.caller.mayCall(now, allCheckFencing(input.engines)))
            return;
        const auto decision = m_scheduler.decide(input);
        m_loadingServers = { decision.loadingServers.begin(), decision.loadingServers.end() };
        if (!decision.serversToHold.empty() && now - m_lastHoldTime >= HOLD_INTERVAL) {
            m_lastHoldTime = now;
            m_dependencies.hold(decision.serversToHold);
        }
        for (const auto &order : decision.ordersToSend) {
            asio::co_spawn(
                m_strand, [self = shared_from_this(), order] { return self->sendOrder(order); },
                asio::detached);
        }
    }

    static auto allCheckFencing(const std::vector<Engine> &engines) -> bool
    {
        return std::all_of(engines.begin(), engines.end(),
                           [](const Engine &engine) { return engine.checksFencing; });
    }

    auto acceptsOrders(const process::inventory::BackendServer &server,
                       const configuration::Configuration &configuration) const -> bool
    {
        return server.service == m_options.service
            && server.state == process::inventory::ServerState::Live
            && !configuration.isZoneOut(server.zone);
    }

    auto makeInput(const process::inventory::ServerView &view, base::TimePoint now) const
        -> WaveInput
    {
        const auto state = m_dependencies.log.state();
        auto input = WaveInput();
        input.service = m_options.service;
        const auto newest = state->weights.find(m_options.service);
        if (newest != state->weights.end())
            input.newestWeights = newest->second;
        const auto *preset = state->configuration->preset();
        for (const auto &target :
             preset == nullptr ? std::vector<configuration::ServiceTarget>() : preset->targets) {
            if (target.service != m_options.service)
                continue;
            input.model = target.model;
            input.adapters = target.adapters;
        }
        for (const auto &server : view.servers) {
            if (acceptsOrders(server, *state->configuration))
                input.engines.push_back(makeEngine(server));
        }
        input.maxConcurrentLoads =
            std::max(1U, m_options.maxConcurrentStoreLoads / countServicesWithWeights(*state));
        input.now = now;
        return input;
    }

    auto makeEngine(const process::inventory::BackendServer &server) const -> Engine
    {
        auto engine = Engine();
        engine.id = server.id;
        engine.endpoint = server.address;
        engine.checksFencing = server.checksFencing;
        const auto *status = m_statuses.find(server.id);
        if (status == nullptr)
            return engine;
        engine.hasStatus = true;
        engine.bootId = status->bootId;
        engine.model = status->model;
        engine.weightVersion = status->weightVersion;
        engine.running = status->running;
        return engine;
    }

    auto pollEngines(const process::inventory::ServerView &view, base::TimePoint now) -> void
    {
        const auto state = m_dependencies.log.state();
        const auto loads = m_dependencies.reports.servers(now);
        auto pollsStarted = std::size_t(0);
        for (const auto &server : view.servers) {
            if (pollsStarted >= MAX_POLLS_PER_TICK)
                return;
            if (!acceptsOrders(server, *state->configuration)
                || !m_statuses.beginPollIfDue(server, loads, m_loadingServers.contains(server.id),
                                              now))
                continue;
            ++pollsStarted;
            asio::co_spawn(
                m_strand,
                [self = shared_from_this(), id = server.id, endpoint = server.address] {
                    return self->pollEngine(id, endpoint);
                },
                asio::detached);
        }
    }

    auto pollEngine(std::string server, std::string endpoint) -> asio::awaitable<void>
    {
        auto status = co_await fetchStatus(endpoint);
        m_statuses.store(server, std::move(status), process::clock::now());
    }

    auto sendOrder(EngineOrder order) -> asio::awaitable<void>
    {
        auto peer = command::FencedPeer { order.endpoint, order.checksFencing };
        auto makeRequest = command::FencedRequest(
            [order](std::uint64_t number) { return makeOrderRequest(order, number); });
        m_ordersSent.add();
        const auto response =
            co_await m_dependencies.caller.call(std::move(peer), std::move(makeRequest));
        const auto accepted =
            response.ok() && (response->status == HTTP_OK || response->status == HTTP_ACCEPTED);
        if (accepted)
            m_scheduler.markAccepted(order.server, order.orderId);
        process::logging::info("weights.order_sent",
                               { { "order", order.orderId },
                                 { "server", order.server },
                                 { "accepted", accepted },
                                 { "response",
                                   response.ok() ? std::to_string(response->status)
                                                 : base::describe(response.status()) } });
    }

    asio::strand<asio::io_context::executor_type> m_strand;
    asio::steady_timer m_timer;
    WeightDependencies m_dependencies;
    WeightOptions m_options;
    WaveScheduler m_scheduler;
    StatusCache m_statuses;
    std::set<std::string> m_loadingServers; //!< Servers with a load in progress.
    std::optional<std::uint64_t> m_fencingNumber;
    base::TimePoint m_lastHoldTime {};
    process::metrics::Counter &m_ordersSent;
    std::atomic<bool> m_stopped = false;
};

WeightRunner::WeightRunner(asio::io_context &context, WeightDependencies dependencies,
                           WeightOptions options)
    : m_loop(std::make_shared<Loop>(context, std::move(dependencies), std::move(options)))
{
    m_loop->start();
}

WeightRunner::~WeightRunner()
{
    m_loop->stop();
}

} // namespace nutmegplank::version::weights
