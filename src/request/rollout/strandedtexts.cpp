#include "request/rollout/strandedtexts.h"

#include "process/logging/logging.h"
#include "request/rollout/resumption.h"

namespace nutmegplank::request::rollout {

auto discardStrandedTexts(OpenBatches &batches, const std::vector<EngineLoad> &engines,
                          base::TimePoint now) -> void
{
    for (auto &[key, batch] : batches.all()) {
        for (auto index = std::size_t(0); index < batch.items.size(); ++index) {
            auto &item = batch.items[index];
            if (item.state != ItemState::Waiting || item.transcript->empty())
                continue;
            const auto reason = reasonToBeginAgain(describeWaiting(batch, index, 0), engines,
                                                   now - item.waitingSince);
            if (reason.empty())
                continue;
            process::logging::info("rollout.text_discarded",
                                   { { "batch", batch.submission->head.id },
                                     { "item", batch.submission->items[index].id },
                                     { "begun_at", item.transcript->software() },
                                     { "events", item.transcript->eventCount() },
                                     { "reason", reason } });
            item.transcript->reset();
            item.savedEvents = 0;
        }
    }
}

auto mayHoldOtherSoftware(const OpenItem &item, RunEnd end) -> bool
{
    const auto runEvents = item.run->runEvents();
    const auto madeByThisRun =
        end == RunEnd::Completed && runEvents == item.transcript->eventCount();
    return runEvents > 0 && !madeByThisRun;
}

} // namespace nutmegplank::request::rollout
