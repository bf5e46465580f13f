#include "process/metrics/metrics.h"

#include <gtest/gtest.h>

using namespace nutmegplank::process::metrics;

TEST(Metrics, Metrics_Render_WritesPrometheusText)
{
    auto registry = Registry();
    registry.counter("requests_total", "Requests.", { { "route", "a\"b" } }).add(3);
    registry.gauge("queue", "Queued.").set(2.5);
    registry.distribution("latency_seconds", "Latency.")
        .record(nutmegplank::base::Duration(20'000));
    const auto page = registry.render();
    EXPECT_NE(page.find("requests_total{route=\"a\\\"b\"} 3\n"), std::string::npos);
    EXPECT_NE(page.find("# TYPE queue gauge\nqueue 2.5\n"), std::string::npos);
    EXPECT_NE(page.find("latency_seconds_bucket{le=\"+Inf\"} 1\n"), std::string::npos);
    EXPECT_NE(page.find("latency_seconds_sum 0.02\n"), std::string::npos);
}
