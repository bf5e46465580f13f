#include "request/rollout/runsupervisor.h"

#include "request/rollout/finishplan.h"
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
    sampleEventInterval(item, now);
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

auto RunSupervisor::moveToFaster(std::vector<EngineLoad> &engines, const LengthHistory &lengths,
                                 base::TimePoint now) -> std::vector<RunMove>
{
    auto engineNumbers = std::map<std::string_view, std::size_t>();
    for (auto index = std::size_t(0); index < engines.size(); ++index)
        engineNumbers[engines[index].id] = index;
    auto running = std::vector<MovableItem>();
    auto keys = std::vector<ItemKey>();
    for (const auto &[id, batch] : m_batches.all()) {
        for (auto index = std::size_t(0); index < batch.items.size(); ++index) {
            const auto &item = batch.items[index];
            const auto engine = engineNumbers.find(item.engine);
            const auto isRunning =
                item.run != nullptr && item.run->startedAt() != base::TimePoint();
            if (!isRunning || engine == engineNumbers.end() || m_engines.loading(item.engine))
                continue;
            auto entry = MovableItem();
            entry.item = describeWaiting(batch, index, keys.size());
            entry.item.remainingEvents = cautiousRemainingEvents(lengths, batch, index);
            entry.engine = engine->second;
            entry.runTime = now - item.run->startedAt();
            entry.moves = item.moves;
            running.push_back(std::move(entry));
            keys.push_back({ id, index });
        }
    }
    auto moves = std::vector<RunMove>();
    for (const auto &move : planFinishMoves(std::move(running), engines, now)) {
        auto &item = m_batches.all().at(keys[move.handle].batch).items[keys[move.handle].item];
        item.avoidedEngine = item.engine;
        ++item.moves;
        item.run->cancel(RunEnd::Cancelled, "item goes on at a faster engine");
        moves.push_back({ keys[move.handle], item.engine, engines[move.target].id, move.endHere,
                          move.endAtTarget });
    }
    return moves;
}

//! Samples the event interval of the item's run. The sample starts anew while the engine loads
//! weights, because the engine then sends no events and this is no slowdown.
auto RunSupervisor::sampleEventInterval(OpenItem &item, base::TimePoint now) -> void
{
    const auto events = item.run->runEvents();
    const auto restartSample =
        m_engines.loading(item.engine) || item.sampledEvents == 0 || events < item.sampledEvents;
    if (!restartSample && events < item.sampledEvents + EVENTS_PER_SAMPLE)
        return;
    if (!restartSample) {
        const auto interval =
            (item.run->lastProgressAt() - item.sampledAt) / (events - item.sampledEvents);
        m_engines.noteEventInterval(item.engine, interval, m_loadTracker.runningAt(item.engine));
        m_engines.speeds().noteInterval(item.engine, interval, now);
    }
    item.sampledEvents = events;
    item.sampledAt = item.run->lastProgressAt();
}

} // namespace nutmegplank::request::rollout
