#include "request/rollout/placementlog.h"

#include "process/logging/logging.h"

namespace nutmegplank::request::rollout {

auto logPlacement(const OpenBatch &batch, std::size_t index, const EngineLoad &engine,
                  base::Duration recordAge, base::TimePoint now) -> void
{
    const auto &transcript = *batch.items[index].transcript;
    const auto predictedEnd = batch.items[index].predictedEnd;
    const auto endMs =
        predictedEnd == base::TimePoint() ? 0 : base::toMilliseconds(predictedEnd - now);
    process::logging::info("rollout.placed",
                           { { "batch", batch.submission->head.id },
                             { "item", batch.submission->items[index].id },
                             { "server", engine.id },
                             { "software", engine.confirmedSoftware() },
                             { "begun_at", transcript.software() },
                             { "running", engine.running },
                             { "slowdown", engine.slowdown },
                             { "event_ms", engine.eventSeconds * 1000.0 },
                             { "end_ms", endMs },
                             { "weights", engine.modelVersion.at(batch.submission->head.model) },
                             { "expected_tokens", expectedRemainingTokens(batch, index) },
                             { "from_event", transcript.lastId() },
                             { "record_age_ms", base::toMilliseconds(recordAge) } });
}

} // namespace nutmegplank::request::rollout
