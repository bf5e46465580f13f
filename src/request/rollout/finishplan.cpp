#include "request/rollout/finishplan.h"

#include <algorithm>

#include "request/rollout/engineindex.h"
#include "request/rollout/finishestimate.h"

namespace nutmegplank::request::rollout {

namespace {

//! What a move costs beyond the start of a run: the end of the old run, one round of placement and
//! the text that is processed again.
constexpr auto MOVE_COST = base::Duration(std::chrono::milliseconds(100));
//! An item whose text only known servers may resume waits until the list of servers was read.
constexpr auto SEVERAL_VERSIONS_COST = base::Duration(std::chrono::milliseconds(500));
//! A move must gain this much and this share of the rest, as both predictions are uncertain.
constexpr auto MIN_GAIN = base::Duration(std::chrono::milliseconds(150));
constexpr auto MIN_GAIN_SHARE = 0.15;
constexpr auto MIN_RUN_TIME = base::Duration(std::chrono::milliseconds(250));
constexpr auto MAX_MOVES = 6U;

struct Slacked
{
    base::Duration slack { 0 };
    std::size_t index = 0;
};

auto bySlack(std::vector<Slacked> entries) -> std::vector<Slacked>
{
    std::ranges::stable_sort(entries, std::less(), &Slacked::slack);
    return entries;
}

auto fastestEventSeconds(const std::vector<EngineLoad> &engines) -> double
{
    auto fastest = 0.0;
    for (const auto &engine : engines) {
        if (hasFreeSlot(engine) && (fastest == 0 || engine.eventSeconds < fastest))
            fastest = engine.eventSeconds;
    }
    return fastest;
}

auto moveCost(const MovableItem &entry, const EngineLoad &target) -> base::Duration
{
    const auto severalVersions = target.softwareAsOf != base::TimePoint::max();
    return entry.item.hasText && severalVersions ? MOVE_COST + SEVERAL_VERSIONS_COST : MOVE_COST;
}

auto isWorthwhile(base::Duration here, base::Duration there) -> bool
{
    const auto gain = here - there;
    return gain >= MIN_GAIN && base::toSeconds(gain) >= MIN_GAIN_SHARE * base::toSeconds(here);
}

} // namespace

auto placeByFinish(std::vector<WaitingItem> waiting, std::vector<EngineLoad> &engines,
                   base::TimePoint now) -> std::vector<Assignment>
{
    const auto fastest = std::chrono::duration<double>(fastestEventSeconds(engines));
    auto order = std::vector<Slacked>();
    for (auto index = std::size_t(0); index < waiting.size(); ++index) {
        const auto rest =
            std::chrono::duration_cast<base::Duration>(fastest * waiting[index].remainingEvents);
        order.push_back({ waiting[index].dueAt - now - rest, index });
    }
    auto engineIndex = EngineIndex(engines);
    auto assignments = std::vector<Assignment>();
    for (const auto &entry : bySlack(std::move(order))) {
        const auto &item = waiting[entry.index];
        const auto best = engineIndex.findBest(item);
        if (best == engines.size())
            continue;
        engineIndex.reserveAt(item, best);
        assignments.push_back({ item.handle, best });
    }
    return assignments;
}

auto planFinishMoves(std::vector<MovableItem> running, std::vector<EngineLoad> &engines,
                     base::TimePoint now) -> std::vector<PlannedMove>
{
    auto order = std::vector<Slacked>();
    for (auto index = std::size_t(0); index < running.size(); ++index) {
        const auto &entry = running[index];
        if (entry.runTime < MIN_RUN_TIME || entry.moves >= MAX_MOVES)
            continue;
        const auto here = FinishEstimate::whereItRuns(entry.item, engines[entry.engine]);
        order.push_back({ entry.item.dueAt - now - here, index });
    }
    auto engineIndex = EngineIndex(engines);
    auto moves = std::vector<PlannedMove>();
    for (const auto &candidate : bySlack(std::move(order))) {
        const auto &entry = running[candidate.index];
        const auto best = engineIndex.findBest(entry.item);
        if (best == engines.size() || best == entry.engine)
            continue;
        const auto here = FinishEstimate::whereItRuns(entry.item, engines[entry.engine]);
        const auto there =
            moveCost(entry, engines[best]) + FinishEstimate::afterStart(entry.item, engines[best]);
        if (!isWorthwhile(here, there))
            continue;
        engineIndex.reserveAt(entry.item, best);
        moves.push_back({ entry.item.handle, best, here, there });
    }
    return moves;
}

} // namespace nutmegplank::request::rollout
