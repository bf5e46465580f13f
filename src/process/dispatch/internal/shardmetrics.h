#pragma once

#include <string>

#include "process/metrics/metrics.h"
#include "request/queue/iqueue.h"

namespace nutmegplank::process::dispatch {

//! Metrics of one shard, looked up once.
struct ShardMetrics
{
    ShardMetrics(metrics::Registry &registry, const std::string &shard)
        : registry(registry)
        , shard(shard)
        , queued(registry.gauge("nutmegplank_shard_queued", "Requests that wait.",
                                { { "shard", shard } }))
        , running(registry.gauge("nutmegplank_shard_running", "Requests that run.",
                                 { { "shard", shard } }))
        , waited(registry.distribution("nutmegplank_shard_wait_seconds",
                                       "Time from acceptance to start.", { { "shard", shard } }))
    { }

    auto countOutcome(std::string_view name) -> void
    {
        registry
            .counter("nutmegplank_attempts_total", "Attempts by how they ended.",
                     { { "shard", shard }, { "outcome", std::string(name) } })
            .add();
    }
    auto showServer(const std::string &server, std::string_view name, std::string_view help,
                    double value) -> void
    {
        registry.gauge(name, help, { { "server", server } }).set(value);
    }

    metrics::Registry &registry;
    std::string shard;
    metrics::Gauge &queued;
    metrics::Gauge &running;
    metrics::Distribution &waited;
};

} // namespace nutmegplank::process::dispatch
