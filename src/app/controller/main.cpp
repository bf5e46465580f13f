#include "app/controller/controllersettings.h"
#include "app/controller/scopes.h"
#include "base/status.h"
#include "base/text.h"
#include "connection/http/httpserver.h"
#include "connection/link/nnglink.h"
#include "process/clock/clock.h"
#include "process/inventory/vmlistinventory.h"
#include "process/logging/logging.h"
#include "process/membership/gossipmembership.h"
#include "process/runtime/runtime.h"
#include "version/state/platformlog.h"

//! nutmegplank-controller: the platform's side. Wires the parts together; decides nothing.
namespace nutmegplank::app {

namespace {

namespace asio = boost::asio;
namespace http = connection::http;
using process::settings::NodeSettings;

constexpr auto PROGRAM = "nutmegplank-controller";
constexpr auto SUMMARY = "plans and orders backend servers, rolls out weights, reports usage.";
constexpr auto ADMIN_PREFIX = std::string_view("/admin/v1");
//! For the releases of leases to reach the log.
constexpr auto LEAVE_TIME = std::chrono::milliseconds(1200);

auto selfOf(const NodeSettings &node, std::uint64_t incarnation, const std::string &link,
            const std::string &httpAddress) -> process::membership::Member
{
    auto self = process::membership::Member();
    self.id = node.id;
    self.incarnation = incarnation;
    self.role = process::membership::Role::Controller;
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

//! Serves /metrics and /health itself, and the operators' interface by \a admin, which is set
//! before the first request is read.
auto serve(const process::metrics::Registry &registry, const http::HttpHandler &admin,
           http::Request request, http::IHttpResponder &responder) -> asio::awaitable<void>
{
    const auto path = std::string(http::pathOf(request.target));
    if (path.rfind(ADMIN_PREFIX, 0) == 0) {
        co_await admin(std::move(request), responder);
        co_return;
    }
    auto response = http::Response();
    if (path == "/metrics")
        response.body = registry.render();
    else if (path == "/health")
        response = http::jsonResponse(200, "{\"status\": \"ok\"}");
    else
        response = http::jsonResponse(404, "{\"error\": \"no such path\"}");
    static_cast<void>(co_await responder.respond(std::move(response)));
}

auto run(const ControllerSettings &settings) -> int
{
    const auto &node = settings.node;
    process::logging::start(PROGRAM, node.id, node.logLevel);
    auto runtime = process::runtime::Runtime(node.threads);
    auto &context = runtime.context();
    auto registry = process::metrics::Registry();
    const auto incarnation = static_cast<std::uint64_t>(process::clock::wallMilliseconds());

    auto admin = http::HttpHandler();
    auto server = http::HttpServer(
        context, {},
        [&](http::Request request, http::IHttpResponder &responder) -> asio::awaitable<void> {
            co_await serve(registry, admin, std::move(request), responder);
        });
    const auto httpPort = server.listen(node.address, node.httpPort);
    if (!httpPort.ok())
        return endForError(httpPort.status());
    const auto httpAddress = base::concat(node.address, ":", *httpPort);
    auto link = connection::link::makeNngLink(
        context.get_executor(), { node.id, incarnation, node.address, node.linkPort, "" });
    if (!link.ok())
        return endForError(link.status());
    const auto self = selfOf(node, incarnation, (*link)->localAddress(), httpAddress);
    auto membership = process::membership::makeGossipMembership(context, { self, node.seeds });
    if (!membership.ok())
        return endForError(membership.status());
    auto &members = **membership;
    auto log = version::state::makePlatformLog(context, { node.logService, node.id });
    log->onChange([&members](version::state::LogStatePtr state) {
        members.setProgress({ state->configuration->version, state->nextOffset });
    });
    auto inventory = process::inventory::makeVmListInventory(context, settings.vmList);
    auto reports = process::reports::LoadReports();

    auto scopes =
        Scopes({ context, **link, members, *log, *inventory, reports, registry }, settings);
    scopes.start();
    (*link)->setHandler([&scopes](wire::Envelope message) { scopes.take(message); });
    admin = process::admin::makeAdminHandler(
        { *log, members, *inventory, settings.operators, [&scopes] { return scopes.status(); } });

    process::runtime::printReady({ { "ready", true },
                                   { "http", httpAddress },
                                   { "link", (*link)->localAddress() },
                                   { "gossip", members.self().gossipAddress } });
    process::logging::info("process.ready");
    auto leave = asio::steady_timer(context);
    runtime.run([&] {
        process::logging::info("process.leaving");
        members.leave();
        scopes.release();
        server.drain();
        leave.expires_after(LEAVE_TIME);
        leave.async_wait([&](const boost::system::error_code &) { runtime.stop(); });
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
    const auto settings = app::readControllerSettings(line.settingsFile);
    if (!settings.ok())
        process::runtime::exitForBadSettings(base::toStd(settings.status().message()));
    if (line.checkSettings)
        return 0;
    return app::run(*settings);
}
