#include "request/queue/earlyrefusal.h"

namespace nutmegplank::request::queue {

auto EarlyRefusal::onTaken(base::Duration waited, base::TimePoint now) -> void
{
    if (now - m_intervalStart >= m_options.interval) {
        m_standing = m_shortest == base::Duration::max() ? base::Duration(0) : m_shortest;
        m_shortest = base::Duration::max();
        m_intervalStart = now;
    }
    m_shortest = std::min(m_shortest, waited);
    m_standing = std::min(m_standing, waited);
}

auto EarlyRefusal::onEmpty() -> void
{
    m_standing = base::Duration(0);
    m_shortest = base::Duration::max();
}

auto EarlyRefusal::refuse(base::TimePoint deadline, base::TimePoint now) const
    -> std::optional<base::Duration>
{
    if (!m_options.enabled || m_standing <= m_options.target || now + m_standing < deadline)
        return std::nullopt;
    return m_standing;
}

} // namespace nutmegplank::request::queue
