#pragma once

#include <map>

#include "process/metrics/metrics.h"
#include "request/step/internal/stepmachine.h"

namespace nutmegplank::request::step {

//! Metrics of all steps of a process, registered once.
class StepMetrics
{
public:
    explicit StepMetrics(process::metrics::Registry &registry);

    auto countDiscard(DiscardReason reason, std::uint64_t amount = 1) -> void;

    process::metrics::Distribution &staleness;
    process::metrics::Distribution &trainerIdle;
    process::metrics::Distribution &generationTime;
    process::metrics::Counter &delivered;
    process::metrics::Counter &repeated;
    process::metrics::Counter &hedges;
    process::metrics::Counter &retries;
    process::metrics::Counter &idleMilliseconds;
    process::metrics::Counter &completed;
    process::metrics::Gauge &openSteps;

private:
    std::map<DiscardReason, process::metrics::Counter *> m_discards;
};

} // namespace nutmegplank::request::step
