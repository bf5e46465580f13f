#include "app/gateway/callermetrics.h"

namespace nutmegplank::app::gateway {

CallerMetrics::CallerMetrics(process::metrics::Registry &registry)
    : m_registry(registry)
    , m_added(registry.distribution("nutmegplank_added_seconds",
                                    "Time of answered requests outside backend servers."))
{ }

auto CallerMetrics::totalOf(const std::string &route) -> process::metrics::Distribution &
{
    const auto lock = std::lock_guard(m_mutex);
    auto &total = m_totals[route];
    if (total == nullptr)
        total = &m_registry.distribution("nutmegplank_request_seconds",
                                         "Time from a request to its whole answer.",
                                         { { "route", route } });
    return *total;
}

auto CallerMetrics::recordAnswer(const std::string &route, base::Duration total,
                                 base::Duration atServer) -> void
{
    totalOf(route).record(total);
    m_added.record(std::max(total - atServer, base::Duration(0)));
}

auto CallerMetrics::recordStep(base::Duration total) -> void
{
    totalOf("steps").record(total);
}

auto CallerMetrics::recordRefusal(const std::string &code) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    auto &refusals = m_refusals[code];
    if (refusals == nullptr)
        refusals = &m_registry.counter("nutmegplank_refusals_total", "Refused requests.",
                                       { { "code", code } });
    refusals->add();
}

} // namespace nutmegplank::app::gateway
