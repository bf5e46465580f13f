#include "request/rollout/runsupervisor.h"

#include "request/rollout/moveplan.h"
#include "request/rollout/runmonitor.h"

namespace nutmegplank::request::rollout {

namespace {

//! Events of a run between two samples of its event interval.
constexpr auto EVENTS_PER_SAMPLE = 3U;

} // namespace

auto RunSupervisor::endFailedRuns(base::TimePoint now) -> void
{
    for (auto &[id, batch] : m_batches.all()) {
        for (auto &item : batch.items) {
            if (item.run != nullptr)
                superviseRun(item, now);
        }
    }
}

auto RunSupervisor::superviseRun(OpenItem &item, base::TimePoint now) -> void
{
    sampleEventInterval(item);
    const auto *server = m_servers.find(item.engine);
    auto monitored = MonitoredRun();
    monitored.silence = now - item.run->lastProgressAt();
    monitored.eventInterval =
        m_engines.eventInterval(item.engine, m_loadTracker.runningAt(item.engine));
    monitored.earlierSilences = item.silentRuns;
    monitored.registered = server != nullptr && !server->missingSince.has_value();
    monitored.restarted = server != nullptr && server->record.incarnation != item.engineIncarnation;
    monitored.loading = m_engines.loading(item.engine);
    monitored.zoneOut = server != nullptr && m_servers.zonesOut().contains(server->record.zone);
    monitored.hasRoute = item.route != nullptr;
    const auto termination = checkProgress(monitored);
    if (!termination.has_value())
        return;
    if (termination->silent)
        ++item.silentRuns;
    item.run->cancel(termination->end, std::string(termination->reason));
}

auto RunSupervisor::moveRuns(std::vector<EngineLoad> &engines, base::TimePoint now) -> void
{
    auto running = std::vector<RunningItem>();
    auto keys = std::vector<ItemKey>();
    for (const auto &[id, batch] : m_batches.all()) {
        for (auto index = std::size_t(0); index < batch.items.size(); ++index) {
            const auto &item = batch.items[index];
            if (item.run == nullptr || m_engines.loading(item.engine))
                continue;
            auto entry = RunningItem();
            entry.item = describeWaiting(batch, index, keys.size());
            entry.slowdown = m_engines.slowdown(item.engine);
            entry.runTime = now - item.run->startedAt();
            entry.movedBefore = item.avoidedEngine == item.engine;
            running.push_back(std::move(entry));
            keys.push_back({ id, index });
        }
    }
    for (const auto handle : planMoves(std::move(running), engines)) {
        auto &item = m_batches.all().at(keys[handle].batch).items[keys[handle].item];
        item.avoidedEngine = item.engine;
        item.run->cancel(RunEnd::Cancelled, "engine is slow; moving the item");
    }
}

//! Samples the event interval of the item's run. The sample starts anew while the engine loads
//! weights, because the engine then sends no events and this is no slowdown.
auto RunSupervisor::sampleEventInterval(OpenItem &item) -> void
{
    const auto events = item.run->runEvents();
    const auto restartSample =
        m_engines.loading(item.engine) || item.sampledEvents == 0 || events < item.sampledEvents;
    if (!restartSample && events < item.sampledEvents + EVENTS_PER_SAMPLE)
        return;
    if (!restartSample)
        m_engines.noteEventInterval(item.engine,
                                    (item.run->lastProgressAt() - item.sampledAt)
                                        / (events - item.sampledEvents),
                                    m_loadTracker.runningAt(item.engine));
    item.sampledEvents = events;
    item.sampledAt = item.run->lastProgressAt();
}

} // namespace nutmegplank::request::rollout
