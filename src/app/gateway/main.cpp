#include <boost/json.hpp>

#include "app/gateway/gateway.h"
#include "app/gateway/tlssource.h"
#include "base/status.h"
#include "base/text.h"
#include "connection/link/nnglink.h"
#include "process/clock/clock.h"
#include "process/logging/logging.h"
#include "process/membership/gossipmembership.h"
#include "process/memory/allocator.h"
#include "process/runtime/runtime.h"
#include "request/refusal/refusal.h"
#include "version/state/platformlog.h"

namespace {

namespace asio = boost::asio;
using namespace nutmegplank;
using app::gateway::Gateway;
using app::gateway::GatewaySettings;

constexpr auto PROGRAM = "nutmegplank-gateway";
constexpr auto SUMMARY = "takes callers' requests and brings them to backend servers";

[[noreturn]] auto exitFor(const absl::Status &status) -> void
{
    process::runtime::exitForBadSettings(base::describe(status));
}

template <typename Value>
auto orExit(absl::StatusOr<Value> value) -> Value
{
    if (!value.ok())
        exitFor(value.status());
    return std::move(*value);
}

auto endpoint(const std::string &address, std::uint16_t port) -> std::string
{
    return base::concat(address, ":", port);
}

auto readSettings(const process::runtime::CommandLine &line) -> GatewaySettings
{
    auto settings = app::gateway::readGatewaySettings(line.settingsFile);
    if (!settings.ok())
        process::runtime::exitForBadSettings(base::toStd(settings.status().message()));
    if (line.checkSettings)
        std::exit(0);
    return *settings;
}

//! Lets the port be bound before the parts are there that answer on it.
class LateHandler
{
public:
    auto set(Gateway *gateway) -> void { m_gateway.store(gateway); }

    auto handle(connection::http::Request request, connection::http::IHttpResponder &responder)
        -> asio::awaitable<void>
    {
        auto *gateway = m_gateway.load();
        if (gateway != nullptr) {
            co_await gateway->handle(std::move(request), responder);
            co_return;
        }
        const auto refusal =
            request::refusal::makeRefusal(request::refusal::Code::ShuttingDown, wire::RAN_NOT_RUN,
                                          { "the process is starting", "start", "", 0 });
        auto response = request::refusal::toResponse(refusal, "");
        co_await responder.respond(std::move(response));
    }

private:
    std::atomic<Gateway *> m_gateway { nullptr };
};

auto memberOf(const process::settings::NodeSettings &node, const std::string &linkAddress,
              std::uint16_t httpPort, std::uint64_t incarnation) -> process::membership::Member
{
    auto member = process::membership::Member();
    member.id = node.id;
    member.incarnation = incarnation;
    member.role = process::membership::Role::Gateway;
    member.vm = node.vm;
    member.zone = node.zone;
    member.gossipAddress = endpoint(node.address, node.gossipPort);
    member.linkAddress = linkAddress;
    member.httpAddress = endpoint(node.address, httpPort);
    return member;
}

auto makeTls(const GatewaySettings &settings) -> std::shared_ptr<app::gateway::TlsSource>
{
    if (!settings.tls.enabled())
        return nullptr;
    auto source = std::make_shared<app::gateway::TlsSource>(settings.tls);
    const auto status = source->reload();
    if (!status.ok())
        exitFor(status);
    return source;
}

auto reloadTls(const std::shared_ptr<app::gateway::TlsSource> &source) -> void
{
    if (!source)
        return;
    const auto status = source->reload();
    if (status.ok())
        process::logging::info("tls.reloaded");
    else
        process::logging::error("tls.reload_failed", { { "error", base::describe(status) } });
}

auto serve(const GatewaySettings &settings) -> void
{
    const auto &node = settings.node;
    const auto incarnation = static_cast<std::uint64_t>(process::clock::wallMilliseconds());
    process::memory::mapLargeBuffers();
    auto runtime = process::runtime::Runtime(node.threads);
    auto &context = runtime.context();
    auto metrics = process::metrics::Registry();
    const auto tls = makeTls(settings);
    auto handler = LateHandler();
    auto intakeLimits = process::memory::IntakeLimits();
    intakeLimits.bytes = settings.heldBytes;
    auto bounds = connection::http::CallerBounds();
    bounds.intake = std::make_shared<process::memory::BodyIntake>(intakeLimits);
    bounds.onTurnedAway = [&metrics](connection::http::TurnedAway reason) {
        const auto name = base::nameOf(connection::http::TURNED_AWAY_NAMES, reason);
        metrics
            .counter("nutmegplank_callers_turned_away_total",
                     "Callers that were let go without passing their request on.",
                     { { "reason", std::string(name) } })
            .add();
    };
    auto server = connection::http::HttpServer(
        context, settings.limits,
        [&handler](connection::http::Request request, connection::http::IHttpResponder &responder) {
            return handler.handle(std::move(request), responder);
        },
        tls ? [tls] { return tls->context(); } : connection::http::TlsContextSource(), bounds);
    const auto httpPort = orExit(server.listen(node.address, node.httpPort));
    auto link = orExit(connection::link::makeNngLink(
        context.get_executor(), { node.id, incarnation, node.address, node.linkPort, "" }));
    auto options = process::membership::MembershipOptions();
    options.self = memberOf(node, link->localAddress(), httpPort, incarnation);
    options.seeds = node.seeds;
    auto membership = orExit(process::membership::makeGossipMembership(context, options));
    auto log = version::state::makePlatformLog(context, { node.logService, node.id });
    log->onChange([&membership](const version::state::LogStatePtr &state) {
        membership->setProgress({ state->configuration->version, state->nextOffset });
    });
    const auto processName = base::concat(node.id, "#", incarnation);
    auto usage = version::usage::makeUsageCounters(processName);
    auto dependencies = app::gateway::GatewayDependencies { context, *link,  *membership, *log,
                                                            metrics, *usage, incarnation, {} };
    auto policy = request::step::StepPolicy();
    policy.hedging = settings.stepHedging;
    dependencies.makeSteps = [&context, &log, &metrics,
                              policy](request::execution::IRequestRunner &runner) {
        return request::step::makeStepService(context, runner, *log, metrics, policy);
    };
    auto gateway = Gateway(std::move(dependencies), settings);
    gateway.start();
    handler.set(&gateway);
    process::runtime::printReady({ { "ready", true },
                                   { "http", endpoint(node.address, httpPort) },
                                   { "link", link->localAddress() },
                                   { "gossip", membership->self().gossipAddress } });
    runtime.run([&] { gateway.shutDown(server, [&runtime] { runtime.stop(); }); },
                [&tls] { reloadTls(tls); });
}

} // namespace

auto main(int argc, char **argv) -> int
{
    const auto line = process::runtime::parseCommandLine(argc, argv, PROGRAM, SUMMARY);
    const auto settings = readSettings(line);
    process::logging::start(PROGRAM, settings.node.id, settings.node.logLevel);
    serve(settings);
    process::logging::stop();
    return 0;
}
