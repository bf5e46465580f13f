#include "process/members/limitreportcodec.h"

#include <algorithm>
#include <cmath>

namespace nutmegplank::process::members {

auto encodeLimitReport(const requestlimits::LimitReport &report, base::TimePoint now)
    -> record::ServerLimitReport
{
    auto encoded = record::ServerLimitReport();
    encoded.set_server(report.server);
    encoded.set_demand(report.demand);
    if (!report.observation.has_value())
        return encoded;
    encoded.set_observed(true);
    encoded.set_limited(report.observation->perSecond.has_value());
    encoded.set_per_second(report.observation->perSecond.value_or(0));
    encoded.set_age_ms(
        static_cast<std::uint32_t>(base::toMilliseconds(now - report.observation->at)));
    return encoded;
}

auto decodeLimitReport(const record::ServerLimitReport &encoded, base::TimePoint madeAt)
    -> requestlimits::LimitReport
{
    auto report = requestlimits::LimitReport { encoded.server() };
    report.demand = std::isfinite(encoded.demand()) ? std::max(0.0, encoded.demand()) : 0.0;
    if (!encoded.observed())
        return report;
    auto &observation = report.observation.emplace();
    observation.at = madeAt - std::chrono::milliseconds(encoded.age_ms());
    if (encoded.limited() && std::isfinite(encoded.per_second()))
        observation.perSecond = std::max(0.0, encoded.per_second());
    return report;
}

} // namespace nutmegplank::process::members
