#include "process/requestlimits/requestlimits.h"

#include "process/logging/logging.h"

namespace nutmegplank::process::requestlimits {

auto RequestLimits::noteResponse(const std::string &server, std::optional<double> perSecond,
                                 base::TimePoint sentAt, base::TimePoint now) -> void
{
    const auto found = m_observations.find(server);
    const auto known = found == m_observations.end() ? std::nullopt : found->second.perSecond;
    // A request that was sent before the limit was named says nothing about its end.
    if (!perSecond.has_value() && (!known.has_value() || sentAt < found->second.at))
        return;
    if (perSecond != known)
        logging::info("server.limit_named",
                      { { "server", server },
                        { "limited", perSecond.has_value() },
                        { "per_second", perSecond.value_or(0) },
                        { "former_per_second", known.value_or(0) },
                        { "request_age_ms", base::toMilliseconds(now - sentAt) } });
    m_observations[server] = { perSecond, now };
}

} // namespace nutmegplank::process::requestlimits
