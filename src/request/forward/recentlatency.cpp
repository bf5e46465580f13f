#include "request/forward/recentlatency.h"

#include <cmath>

namespace nutmegplank::request::forward {

namespace {

//! After this time, what was seen has lost most of its weight. Servers are slow for some hundred
//! milliseconds at a time.
constexpr auto MEMORY = std::chrono::milliseconds(600);
//! The latency of a server moves by the difference to a new sample divided by this.
constexpr auto SMOOTHING = 2;
constexpr auto USUAL_SMOOTHING = 32;

auto mix(base::Duration former, base::Duration sample, int divisor) -> base::Duration
{
    return former.count() == 0 ? sample : former + (sample - former) / divisor;
}

} // namespace

auto RecentLatency::note(const std::string &server, base::Duration latency, base::TimePoint now)
    -> void
{
    const auto former = expected(server, now);
    m_seen[server] = Seen { mix(former, latency, SMOOTHING), now };
    m_usual = mix(m_usual, latency, USUAL_SMOOTHING);
}

auto RecentLatency::expected(const std::string &server, base::TimePoint now) const -> base::Duration
{
    const auto found = m_seen.find(server);
    if (found == m_seen.end())
        return m_usual;
    const auto age = std::chrono::duration<double>(now - found->second.at);
    const auto weight = std::exp(-age / std::chrono::duration<double>(MEMORY));
    const auto difference = static_cast<double>((found->second.latency - m_usual).count());
    return m_usual + base::Duration(static_cast<std::int64_t>(weight * difference));
}

} // namespace nutmegplank::request::forward
