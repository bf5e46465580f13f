#include "process/reports/loadreports.h"

#include <algorithm>

#include "base/text.h"

namespace nutmegplank::process::reports {

namespace {

constexpr auto REPORT_LIFE = base::Duration(std::chrono::seconds(5));

template <typename Reports>
auto dropExpired(Reports &reports, base::TimePoint now) -> void
{
    std::erase_if(reports,
                  [now](const auto &entry) { return now - entry.second.heard > REPORT_LIFE; });
}

} // namespace

auto LoadReports::take(const wire::Envelope &message, base::TimePoint now) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    dropExpired(m_shards, now);
    dropExpired(m_demands, now);
    if (message.has_shard_report()) {
        const auto &report = message.shard_report();
        m_shards[report.load().shard()] = Shard { report, message.reply_link(), now };
    }
    if (message.has_demand_report()) {
        const auto &report = message.demand_report();
        m_demands[base::concat(message.from(), "/", report.service())] = Demand { report, now };
    }
}

auto LoadReports::servers(base::TimePoint now) const -> ServerLoads
{
    const auto lock = std::lock_guard(m_mutex);
    auto loads = ServerLoads();
    for (const auto &[name, shard] : m_shards) {
        if (now - shard.heard > REPORT_LIFE)
            continue;
        for (const auto &server : shard.report.servers()) {
            loads[server.server()] =
                ServerLoad { shard.report.service(),  shard.link,       server.cold(),
                             server.alive(),          server.running(), server.limit(),
                             server.weight_version(), shard.heard };
        }
    }
    return loads;
}

auto LoadReports::services(base::TimePoint now) const -> ServiceLoads
{
    const auto lock = std::lock_guard(m_mutex);
    auto loads = ServiceLoads();
    for (const auto &[name, shard] : m_shards) {
        if (now - shard.heard > REPORT_LIFE)
            continue;
        auto &load = loads[shard.report.service()];
        load.queued += shard.report.load().queued();
        load.running += shard.report.load().running();
        load.capacity += shard.report.load().capacity();
    }
    for (const auto &[name, demand] : m_demands) {
        if (now - demand.heard > REPORT_LIFE)
            continue;
        auto &load = loads[demand.report.service()];
        load.waiting += demand.report.waiting();
        load.waitMs = std::max(load.waitMs, demand.report.wait_ms());
        load.arrivalsPerSecond += demand.report.arrivals_per_second();
        load.openSteps += demand.report.open_steps();
    }
    return loads;
}

} // namespace nutmegplank::process::reports
