#pragma once

#include "request/execution/demandmeter.h"
#include "request/execution/internal/attemptregistry.h"
#include "request/execution/requestrunner.h"

namespace nutmegplank::request::execution {

//! Metrics over all runs of a runner.
struct RunMetrics
{
    explicit RunMetrics(process::metrics::Registry &registry)
        : attempts(registry.counter("nutmegplank_attempts_total", "Attempts sent to dispatchers."))
        , retries(registry.counter("nutmegplank_retries_total", "Attempts after a failed one."))
        , hedges(registry.counter("nutmegplank_hedges_total", "Second attempts beside a slow one."))
        , lateMessages(registry.counter("nutmegplank_late_messages_total",
                                        "Messages about attempts that nobody waits for."))
        , budgetExhausted(registry.counter("nutmegplank_retry_budget_empty_total",
                                           "Retries not made because the budget was used up."))
    { }

    process::metrics::Counter &attempts;
    process::metrics::Counter &retries;
    process::metrics::Counter &hedges;
    process::metrics::Counter &lateMessages;
    process::metrics::Counter &budgetExhausted;
};

//! State that all runs of a runner share.
struct RunShared
{
    RunShared(RunnerDependencies givenDependencies, RunnerSettings givenSettings)
        : dependencies(givenDependencies)
        , settings(givenSettings)
        , metrics(givenDependencies.metrics)
        , chooser(givenSettings.shardPolicy)
        , budget(givenSettings.retryShare, givenSettings.retryReserve)
    { }

    RunnerDependencies dependencies;
    RunnerSettings settings;
    RunMetrics metrics;
    AttemptRegistry registry;
    ShardChooser chooser;
    RetryBudget budget;
    DemandMeter demand;
};

} // namespace nutmegplank::request::execution
