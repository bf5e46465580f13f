#include "version/streamorigin/originlog.h"

namespace nutmegplank::version::streamorigin {

namespace {

//! Longer than callers try to take a stream up.
constexpr auto MEMORY = base::Duration(std::chrono::seconds(120));

} // namespace

auto OriginLog::apply(const StreamOrigin &origin, RecordSource source, base::TimePoint now) -> void
{
    const auto known = m_origins.find(origin.requestId);
    const auto isOwn = known != m_origins.end() && known->second.source == RecordSource::OwnWrite;
    // Reading back an earlier record of the same request must not replace the last one.
    if (isOwn && source == RecordSource::Log)
        return;
    m_origins[origin.requestId] = { origin, source, now };
    m_readOrder.emplace_back(now, origin.requestId);
    expire(now);
}

auto OriginLog::setBaseline(const std::string &service, const Baseline &baseline) -> void
{
    m_baselines[service] = baseline;
}

auto OriginLog::mustRecord(const std::string &service, const std::string &software,
                           base::TimePoint now) const -> bool
{
    const auto found = m_baselines.find(service);
    if (found == m_baselines.end() || now - m_baselinesReadAt >= BASELINE_LIFETIME)
        return true;
    const auto &baseline = found->second;
    return software.empty() || baseline.closing || baseline.software != software;
}

auto OriginLog::find(const std::string &service, const std::string &requestId, LogView view,
                     bool onlyBaseline) const -> std::optional<std::string>
{
    const auto found = m_origins.find(requestId);
    if (found != m_origins.end() && !requestId.empty()) {
        if (view == LogView::Stale && found->second.source != RecordSource::OwnWrite)
            return std::nullopt;
        const auto &origin = found->second.origin;
        if (origin.software.empty() || origin.service != service)
            return std::nullopt;
        return origin.software;
    }
    const auto baseline = m_baselines.find(service);
    if (baseline == m_baselines.end())
        return std::nullopt;
    const auto beganAtBaseline = !requestId.empty() || onlyBaseline;
    if (view == LogView::Stale || !beganAtBaseline)
        return std::nullopt;
    return baseline->second.software;
}

auto OriginLog::expire(base::TimePoint now) -> void
{
    while (!m_readOrder.empty() && now - m_readOrder.front().first >= MEMORY) {
        const auto found = m_origins.find(m_readOrder.front().second);
        if (found != m_origins.end() && found->second.readAt == m_readOrder.front().first)
            m_origins.erase(found);
        m_readOrder.pop_front();
    }
}

} // namespace nutmegplank::version::streamorigin
