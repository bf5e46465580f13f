#include <boost/asio.hpp>

#include "base/jsonreader.h"
#include "base/text.h"
#include "connection/backend/probe.h"
#include "connection/http/httpclient.h"
#include "process/dispatch/internal/serverentry.h"
#include "process/dispatch/internal/shardmetrics.h"
#include "process/dispatch/shardworker.h"
#include "process/logging/logging.h"

// The part of a shard that looks after its backend servers.
namespace nutmegplank::process::dispatch {

namespace {

namespace asio = boost::asio;
using connection::backend::ProbeKind;

constexpr auto EVENT_TIME = std::chrono::seconds(1);
//! Largest body of a page of cache events.
constexpr auto MAX_EVENTS_BYTES = std::uint64_t(1024 * 1024);
constexpr auto NUMBER_RANGE = base::IntegerRange { 0, std::numeric_limits<std::int64_t>::max() };

auto limitOptionsOf(const version::configuration::Service *service) -> request::limit::LimitOptions
{
    if (service == nullptr)
        return {};
    return { service->coldLimit, service->warmLimit, service->warmUp };
}

} // namespace

auto ShardWorker::followServers(std::vector<inventory::BackendServer> servers) -> void
{
    auto listed = std::set<std::string>();
    for (auto &server : servers) {
        listed.insert(server.id);
        const auto known = m_servers.find(server.id);
        const auto moved =
            known != m_servers.end() && known->second->server().address != server.address;
        if (known == m_servers.end() || moved) {
            addServer(std::move(server));
            continue;
        }
        known->second->setServer(std::move(server));
        known->second->setLimits(m_policy.limit, limitOptionsOf(service()), now());
        known->second->setGone(false);
    }
    for (auto &[id, server] : m_servers) {
        server->setGone(!listed.contains(id));
        const auto out =
            m_configuration != nullptr && m_configuration->isZoneOut(server->server().zone);
        server->setZoneOut(out);
    }
    removeGoneServers();
}

auto ShardWorker::addServer(inventory::BackendServer server) -> void
{
    auto pool = connection::backend::BackendPoolOptions();
    pool.connect.userTimeout = m_policy.userTimeout;
    const auto id = server.id;
    const auto entry = std::make_shared<ServerEntry>(std::move(server), m_policy.limit,
                                                     limitOptionsOf(service()), pool, now());
    m_servers[id] = entry;
    auto self = shared_from_this();
    asio::co_spawn(
        m_strand, [self, entry] { return self->watchServer(entry); }, asio::detached);
}

auto ShardWorker::removeGoneServers() -> void
{
    std::erase_if(m_servers, [this](const auto &entry) {
        const auto &server = entry.second;
        if (!server->gone() || server->running() > 0)
            return false;
        m_prefixes.forget(entry.first);
        m_cacheCursors.erase(entry.first);
        return true;
    });
}

auto ShardWorker::notice(const wire::ServerNotice &notice) -> void
{
    const auto found = m_servers.find(notice.server());
    if (found == m_servers.end())
        return;
    const auto held = std::chrono::milliseconds(notice.hold() ? notice.hold_ms() : 0);
    found->second->hold(now() + held);
    pump();
}

auto ShardWorker::watchServer(EntryPtr server) -> asio::awaitable<void>
{
    const auto id = server->server().id;
    auto timer = asio::steady_timer(m_strand);
    const auto isCurrent = [&] {
        const auto found = m_servers.find(id);
        return !m_stopped && found != m_servers.end() && found->second == server;
    };
    while (isCurrent()) {
        // Servers and zones that leave get no probes either, except for what still runs there.
        const auto owned = m_state != shards::ShardState::NotOwner;
        if ((owned && server->inService()) || server->running() > 0)
            co_await probeServer(server);
        timer.expires_after(m_policy.probePeriod);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

auto ShardWorker::probeServer(EntryPtr server) -> asio::awaitable<void>
{
    const auto id = server->server().id;
    const auto kind = isEngine() ? ProbeKind::Engine : ProbeKind::Plain;
    const auto wasAlive = server->alive();
    const auto result =
        co_await connection::backend::probe(server->server().address, kind, m_policy.probeTimeout);
    if (server->onProbe(result, now()) == ServerNews::Restarted) {
        m_prefixes.forget(id);
        m_cacheCursors.erase(id);
        logging::info("server.restarted", { { "server", id } });
    }
    if (wasAlive != server->alive())
        logging::info("server.alive", { { "server", id }, { "alive", server->alive() } });
    if (wasAlive && !server->alive())
        cutAllOn(*server,
                 result.verdict == connection::backend::ProbeVerdict::Dead
                     ? wire::FAILURE_SERVER_DIED
                     : wire::FAILURE_SILENT,
                 "the backend server does not answer");
    if (server->alive() && isEngine())
        co_await readCacheEvents(server);
    showServers();
    pump();
}

auto ShardWorker::readCacheEvents(EntryPtr server) -> asio::awaitable<void>
{
    const auto id = server->server().id;
    const auto cursor = m_cacheCursors[id];
    auto request = connection::http::Request();
    request.target = base::concat("/v1/cache_events?from=", cursor);
    request.headers.push_back({ "Connection", "close" });
    auto options = connection::http::ConnectOptions();
    options.bodyBytes = MAX_EVENTS_BYTES;
    const auto answer =
        co_await connection::http::fetch(server->server().address, request, EVENT_TIME, options);
    if (!answer.ok())
        co_return;
    const auto parsed = base::parseJson(answer->body);
    if (!parsed.ok() || !parsed->is_object())
        co_return;
    auto reader = base::ObjectReader(*parsed, "cache_events");
    for (auto &event : reader.objects("events")) {
        auto read = request::placement::CacheEvent();
        read.sequence = static_cast<std::uint64_t>(event.integer("sequence", NUMBER_RANGE));
        read.stored = event.string("kind") == "stored";
        read.prefixKey = event.string("prefix_key");
        m_prefixes.onEvent(id, read, now());
    }
    const auto next = reader.integer("next", NUMBER_RANGE, static_cast<std::int64_t>(cursor));
    m_cacheCursors[id] = static_cast<std::uint64_t>(next);
}

auto ShardWorker::showServers() -> void
{
    for (const auto &[id, server] : m_servers) {
        m_metrics->showServer(id, "nutmegplank_server_running", "Requests on the server.",
                              server->running());
        m_metrics->showServer(id, "nutmegplank_server_limit", "Requests that it may have.",
                              server->allowance(now()));
        m_metrics->showServer(id, "nutmegplank_server_alive", "Whether it answers.",
                              server->alive() ? 1 : 0);
        m_metrics->showServer(id, "nutmegplank_server_cold", "Whether it counts as cold.",
                              server->isCold(now()) ? 1 : 0);
        m_metrics->showServer(id, "nutmegplank_server_weight_version",
                              "Weight version last seen from it.",
                              static_cast<double>(server->weightVersion()));
    }
}

} // namespace nutmegplank::process::dispatch
