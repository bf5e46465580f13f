#include "base/status.h"
#include "base/text.h"
#include "connection/http/httpserver.h"
#include "connection/link/nnglink.h"
#include "process/clock/clock.h"
#include "process/dispatch/dispatcher.h"
#include "process/inventory/vmlistinventory.h"
#include "process/logging/logging.h"
#include "process/membership/gossipmembership.h"
#include "process/memory/allocator.h"
#include "process/metrics/metrics.h"
#include "process/runtime/runtime.h"
#include "process/settings/settings.h"
#include "version/state/platformlog.h"

//! nutmegplank-dispatcher: the backend servers' side. Wires the parts together; decides nothing.
namespace nutmegplank::app {

namespace {

namespace asio = boost::asio;
namespace http = connection::http;
using process::settings::NodeSettings;

constexpr auto PROGRAM = "nutmegplank-dispatcher";
constexpr auto SUMMARY = "queues requests and runs them on the backend servers of its shards.";
//! After the last answer was handed to the link, for it to leave.
constexpr auto FLUSH_TIME = std::chrono::milliseconds(500);
constexpr auto DELAY_RANGE =
    base::DurationRange { std::chrono::milliseconds(50), std::chrono::minutes(1) };

struct Settings
{
    NodeSettings node;
    std::string vmList;
    process::dispatch::DispatcherOptions options;
};

auto readSettings(const std::string &path) -> absl::StatusOr<Settings>
{
    const auto value = process::settings::readFile(path);
    if (!value.ok())
        return value.status();
    auto reader = base::ObjectReader(*value, path);
    auto settings = Settings();
    settings.node = process::settings::readNode(reader);
    settings.vmList = reader.string("vm_list");
    if (!settings.vmList.empty() && !process::settings::isEndpoint(settings.vmList))
        reader.fail("vm_list", "must be an IP number and a port, such as \"10.0.0.1:7100\"");
    auto &options = settings.options;
    options.handoverDelay = reader.duration("handover_delay", DELAY_RANGE, options.handoverDelay);
    options.fenceBound = reader.duration("fence_bound", DELAY_RANGE, options.fenceBound);
    options.confirmBound = reader.duration("confirm_bound", DELAY_RANGE, options.confirmBound);
    options.policy = process::dispatch::readDispatchPolicy(reader);
    const auto problem = reader.finish();
    if (!problem.ok())
        return problem;
    return settings;
}

auto selfOf(const NodeSettings &node, std::uint64_t incarnation, const std::string &link,
            const std::string &httpAddress) -> process::membership::Member
{
    auto self = process::membership::Member();
    self.id = node.id;
    self.incarnation = incarnation;
    self.role = process::membership::Role::Dispatcher;
    self.vm = node.vm;
    self.zone = node.zone;
    self.gossipAddress = base::concat(node.address, ":", node.gossipPort);
    self.linkAddress = link;
    self.httpAddress = httpAddress;
    return self;
}

auto endForError(const absl::Status &status) -> int
{
    process::logging::error("start.failed", { { "error", base::describe(status) } });
    process::logging::stop();
    return 1;
}

auto makeHandler(process::metrics::Registry &registry) -> http::HttpHandler
{
    return [&registry](http::Request request,
                       http::IHttpResponder &responder) -> asio::awaitable<void> {
        auto response = http::Response();
        const auto path = std::string(http::pathOf(request.target));
        if (path == "/metrics")
            response.body = registry.render();
        else if (path == "/health")
            response = http::jsonResponse(200, "{\"status\": \"ok\"}");
        else
            response.status = 404;
        (void)co_await responder.respond(std::move(response));
    };
}

auto run(const Settings &settings) -> int
{
    const auto &node = settings.node;
    process::logging::start(PROGRAM, node.id, node.logLevel);
    process::memory::mapLargeBuffers();
    auto runtime = process::runtime::Runtime(node.threads);
    auto &context = runtime.context();
    auto registry = process::metrics::Registry();
    const auto incarnation = static_cast<std::uint64_t>(process::clock::wallMilliseconds());
    auto strand = asio::make_strand(context);

    auto server = http::HttpServer(context, {}, makeHandler(registry));
    const auto httpPort = server.listen(node.address, node.httpPort);
    if (!httpPort.ok())
        return endForError(httpPort.status());
    const auto httpAddress = base::concat(node.address, ":", *httpPort);
    // On the dispatcher's strand, so that a cancellation never overtakes its request.
    auto link = connection::link::makeNngLink(
        strand, { node.id, incarnation, node.address, node.linkPort, "" });
    if (!link.ok())
        return endForError(link.status());
    const auto self = selfOf(node, incarnation, (*link)->localAddress(), httpAddress);
    auto membership = process::membership::makeGossipMembership(context, { self, node.seeds });
    if (!membership.ok())
        return endForError(membership.status());
    auto log = version::state::makePlatformLog(context, { node.logService, node.id });
    auto inventory = process::inventory::makeVmListInventory(context, settings.vmList);
    auto &members = **membership;
    log->onChange([&members](version::state::LogStatePtr state) {
        members.setProgress({ state->configuration->version, state->nextOffset });
    });

    auto dependencies = process::dispatch::DispatcherDependencies {
        context, process::clock::now, **link, members, *inventory, *log, registry
    };
    auto dispatcher = std::make_shared<process::dispatch::Dispatcher>(strand, settings.options,
                                                                      std::move(dependencies));
    (*link)->setHandler(
        [dispatcher](wire::Envelope message) { dispatcher->handle(std::move(message)); });
    dispatcher->start();

    process::runtime::printReady({ { "ready", true },
                                   { "http", httpAddress },
                                   { "link", (*link)->localAddress() },
                                   { "gossip", members.self().gossipAddress } });
    process::logging::info("process.ready");
    auto flush = asio::steady_timer(context);
    runtime.run([&] {
        process::logging::info("process.leaving");
        members.leave();
        dispatcher->drain([&] {
            flush.expires_after(FLUSH_TIME);
            flush.async_wait([&](const boost::system::error_code &) { runtime.stop(); });
        });
    });
    process::logging::info("process.ended");
    process::logging::stop();
    return 0;
}

} // namespace

} // namespace nutmegplank::app

auto main(int argc, char **argv) -> int
{
    using namespace nutmegplank;
    const auto line = process::runtime::parseCommandLine(argc, argv, app::PROGRAM, app::SUMMARY);
    const auto settings = app::readSettings(line.settingsFile);
    if (!settings.ok())
        process::runtime::exitForBadSettings(base::toStd(settings.status().message()));
    if (line.checkSettings)
        return 0;
    return app::run(*settings);
}
