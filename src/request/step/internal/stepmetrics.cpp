#include "request/step/internal/stepmetrics.h"

namespace nutmegplank::request::step {

StepMetrics::StepMetrics(process::metrics::Registry &registry)
    : staleness(registry.distribution("nutmegplank_step_staleness_versions",
                                      "Age of delivered samples in weight versions."))
    , trainerIdle(registry.distribution("nutmegplank_step_trainer_idle_seconds",
                                        "Time that a pull waited with nothing to give."))
    , generationTime(registry.distribution("nutmegplank_step_generation_seconds",
                                           "Time from start to end of kept generations."))
    , delivered(registry.counter("nutmegplank_step_samples_delivered_total",
                                 "Samples handed out for the first time."))
    , repeated(registry.counter("nutmegplank_step_samples_repeated_total",
                                "Unacknowledged samples handed out again."))
    , hedges(registry.counter("nutmegplank_step_hedges_total",
                              "Second generations started beside slow ones."))
    , retries(registry.counter("nutmegplank_step_retries_total",
                               "Generations that failed and are made again."))
    , idleMilliseconds(registry.counter("nutmegplank_step_trainer_idle_milliseconds_total",
                                        "Sum of the time that pulls waited."))
    , completed(registry.counter("nutmegplank_step_completed_total",
                                 "Steps whose last sample was acknowledged."))
    , openSteps(registry.gauge("nutmegplank_step_open", "Steps that are open."))
{
    for (const auto &reason : DISCARD_NAMES)
        m_discards[reason.value] = &registry.counter("nutmegplank_step_samples_discarded_total",
                                                     "Generated samples thrown away, by reason.",
                                                     { { "reason", std::string(reason.name) } });
}

auto StepMetrics::countDiscard(DiscardReason reason, std::uint64_t amount) -> void
{
    m_discards.at(reason)->add(amount);
}

} // namespace nutmegplank::request::step
