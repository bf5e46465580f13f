#include "request/rollout/engineloadtracker.h"

#include <algorithm>

#include "process/clock/clock.h"
#include "process/health/confirmedsoftware.h"

namespace nutmegplank::request::rollout {

namespace {

using process::health::ColdRule;
using process::servers::Server;

//! Share of a cold server's start rate that items may use. The rest is left for requests of the
//! previous lease holder that are still in flight.
constexpr auto COLD_START_SHARE = 0.6;

} // namespace

auto EngineLoadTracker::coldStartRule(const std::string &service) const -> ColdRule
{
    const auto *found = m_table == nullptr ? nullptr : m_table->findService(service);
    if (found == nullptr)
        return {};
    return { found->coldRequestsPerSecond * COLD_START_SHARE, found->coldStart };
}

auto EngineLoadTracker::runningAt(const std::string &engine) const -> std::uint32_t
{
    const auto found = m_running.find(engine);
    return found == m_running.end() ? 0 : found->second;
}

auto EngineLoadTracker::noteStart(const std::string &engine, base::TimePoint now) -> void
{
    ++m_running[engine];
    m_health.noteStart(engine, now);
}

auto EngineLoadTracker::noteHeldBack(const std::vector<EngineLoad> &engines, base::TimePoint now)
    -> void
{
    for (const auto &engine : engines) {
        if (engine.startsLeft == 0)
            m_health.limits().noteHeldBack(engine.id, now);
    }
}

auto EngineLoadTracker::headObserver(const std::string &engine,
                                     const process::health::RequestSize &size,
                                     base::TimePoint sentAt) -> serverprotocol::HeadObserver
{
    return [this, engine, size, sentAt](const auto &metadata) {
        serverprotocol::noteServerHead({ m_servers, m_health.limits() }, engine, metadata, sentAt,
                                       process::clock::now());
        if (metadata.isTaken())
            m_health.noteTaken(engine, size);
    };
}

auto EngineLoadTracker::noteEnd(const std::string &engine) -> void
{
    const auto found = m_running.find(engine);
    if (found != m_running.end() && --found->second == 0)
        m_running.erase(found);
}

auto EngineLoadTracker::loads(base::TimePoint serversReadAt, base::TimePoint now) const
    -> std::vector<EngineLoad>
{
    auto engines = std::vector<EngineLoad>();
    if (m_table == nullptr)
        return engines;
    for (const auto &[id, server] : m_servers.all()) {
        const auto &record = server.record;
        const auto *service = m_table->findService(record.service);
        if (service == nullptr || !service->engine.has_value() || !m_servers.usable(server))
            continue;
        auto load = EngineLoad();
        load.id = id;
        load.service = record.service;
        load.software = record.software;
        load.softwareSure = process::health::isSoftwareSure(server, m_servers, m_health);
        if (m_servers.hasSeveralVersions(record.service))
            load.softwareAsOf = serversReadAt;
        load.slots = record.slots;
        load.running = runningAt(id);
        load.cacheTokens = service->engine->cacheTokens;
        load.refusedSizes = m_health.refusedSizes(id, now);
        load.slowdown = m_states.slowdown(id);
        load.eventSeconds = m_states.speeds().eventSeconds(id, now);
        if (!m_states.loading(id))
            load.startsLeft =
                m_health.startsLeft(id, server.coldUntil, coldStartRule(record.service), now);
        for (const auto &[model, version] : record.modelVersion)
            load.modelVersion[model] =
                std::max(version, m_states.version(id, record.incarnation, model));
        engines.push_back(std::move(load));
    }
    return engines;
}

auto EngineLoadTracker::noteOutcome(const Server &server, const ItemRun &run, RunEnd end,
                                    base::TimePoint now) -> void
{
    const auto &id = server.record.id;
    switch (end) {
    case RunEnd::Completed:
    case RunEnd::Failed:
    case RunEnd::Impossible:
        m_health.noteAnswer(id);
        return;
    case RunEnd::NotRun:
        m_health.noteRefused(id, run.size(), run.startedAt(), now);
        return;
    case RunEnd::WrongServer:
        m_health.noteWrongServer(id, now);
        return;
    case RunEnd::Unreachable:
        m_health.noteUnreachable(id, coldStartRule(server.record.service), now);
        return;
    case RunEnd::Broken:
        // A stream that breaks after its first events does not indicate a failed server; no
        // response head or no event at all does.
        if (!run.gotHead() || run.runEvents() == 0)
            m_health.noteLost(id, coldStartRule(server.record.service), now);
        return;
    case RunEnd::Rejected:
    case RunEnd::Foreign:
    case RunEnd::Unstamped:
    case RunEnd::Malformed:
    case RunEnd::Oversized:
    case RunEnd::Outdated:
    case RunEnd::Cancelled:
        return;
    }
}

} // namespace nutmegplank::request::rollout
