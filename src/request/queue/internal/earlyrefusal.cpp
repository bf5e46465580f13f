#include "request/queue/earlyrefusal.h"

namespace nutmegplank::request::queue {

auto EarlyRefusal::onTaken(base::Duration waited, base::TimePoint now) -> void
{
    if (now - m_intervalStart >= m_options.interval) {
        m_standingWait =
            m_shortestWait == base::Duration::max() ? base::Duration(0) : m_shortestWait;
        m_shortestWait = base::Duration::max();
        m_intervalStart = now;
    }
    m_shortestWait = std::min(m_shortestWait, waited);
    m_standingWait = std::min(m_standingWait, waited);
}

auto EarlyRefusal::onEmpty() -> void
{
    m_standingWait = base::Duration(0);
    m_shortestWait = base::Duration::max();
}

auto EarlyRefusal::refusalRetryDelay(base::TimePoint deadline, base::TimePoint now) const
    -> std::optional<base::Duration>
{
    if (!m_options.enabled || m_standingWait <= m_options.target || now + m_standingWait < deadline)
        return std::nullopt;
    return m_standingWait;
}

} // namespace nutmegplank::request::queue
