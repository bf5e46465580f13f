#include "request/rollout/finishestimate.h"

namespace nutmegplank::request::rollout {

namespace {

//! From the request to the first event without its generation: connection, queue, prompt.
constexpr auto START_TIME = base::Duration(std::chrono::milliseconds(60));
//! Extra time per event for each further run. The measured times contain the runs of their time, so
//! that this decides only between engines of one kind.
constexpr auto CONCURRENCY_COST = 0.01;

auto scaled(base::Duration time, double factor) -> base::Duration
{
    return std::chrono::duration_cast<base::Duration>(time * factor);
}

auto eventTimeWith(const EngineLoad &engine, std::uint32_t runs) -> base::Duration
{
    const auto seconds = engine.eventSeconds * (1.0 + CONCURRENCY_COST * runs);
    return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

auto FinishEstimate::eventTime(const EngineLoad &engine) -> base::Duration
{
    return eventTimeWith(engine, engine.running);
}

auto FinishEstimate::whereItRuns(const WaitingItem &item, const EngineLoad &engine)
    -> base::Duration
{
    const auto others = engine.running > 0 ? engine.running - 1 : 0;
    return scaled(eventTimeWith(engine, others), item.remainingEvents);
}

auto FinishEstimate::afterStart(const WaitingItem &item, const EngineLoad &engine) -> base::Duration
{
    return START_TIME + scaled(eventTime(engine), item.remainingEvents);
}

} // namespace nutmegplank::request::rollout
