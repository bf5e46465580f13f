#include "request/rollout/placementlog.h"

#include "process/logging/logging.h"

namespace nutmegplank::request::rollout {

auto logPlacement(const OpenBatch &batch, std::size_t index, const EngineLoad &engine,
                  base::Duration recordAge) -> void
{
    const auto &transcript = *batch.items[index].transcript;
    process::logging::info("rollout.placed",
                           { { "batch", batch.id },
                             { "item", batch.submission->items[index].id },
                             { "server", engine.id },
                             { "software", engine.confirmedSoftware() },
                             { "begun_at", transcript.software() },
                             { "running", engine.running },
                             { "slowdown", engine.slowdown },
                             { "weights", engine.modelVersion.at(batch.submission->head.model) },
                             { "expected_tokens", expectedRemainingTokens(batch, index) },
                             { "from_event", transcript.lastId() },
                             { "record_age_ms", base::toMilliseconds(recordAge) } });
}

} // namespace nutmegplank::request::rollout
