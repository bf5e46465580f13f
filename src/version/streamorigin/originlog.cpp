#include "version/streamorigin/originlog.h"

#include <algorithm>

namespace nutmegplank::version::streamorigin {

namespace {

//! Longer than callers try to take a stream up.
constexpr auto MEMORY = base::Duration(std::chrono::seconds(120));

//! Whether a stream of \a owner may be \a caller's though they differ.
auto mayBeTheSame(const std::optional<routing::Owner> &owner, const routing::Owner &caller) -> bool
{
    return !owner.has_value() || owner->kind == routing::OwnerKind::Shared
        || caller.kind == routing::OwnerKind::Shared;
}

} // namespace

auto OriginLog::apply(const StreamOrigin &origin, RecordSource source, base::TimePoint now) -> void
{
    auto &entries = m_origins[origin.requestId];
    const auto known = std::ranges::find_if(
        entries, [&origin](const Entry &entry) { return entry.origin.owner == origin.owner; });
    const auto isOwn = known != entries.end() && known->source == RecordSource::OwnWrite;
    // Reading back an earlier record of the same request must not replace the last one.
    if (isOwn && source == RecordSource::Log)
        return;
    if (known == entries.end())
        entries.push_back({ origin, source, now });
    else
        *known = { origin, source, now };
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

//! The record of \a caller's stream, else the only one of which it can't be told whose it is: the
//! configuration may have gained or lost its workspaces since.
auto OriginLog::entryOf(const Entries &entries, const routing::Owner &caller) -> const Entry *
{
    const Entry *candidate = nullptr;
    auto candidates = 0;
    for (const auto &entry : entries) {
        const auto &owner = entry.origin.owner;
        if (owner == caller)
            return &entry;
        if (mayBeTheSame(owner, caller)) {
            candidate = &entry;
            ++candidates;
        }
    }
    return candidates == 1 ? candidate : nullptr;
}

auto OriginLog::find(const std::string &service, const std::string &requestId,
                     const routing::Owner &caller, LogView view, bool onlyBaseline) const
    -> std::optional<std::string>
{
    const auto found = m_origins.find(requestId);
    if (found != m_origins.end() && !requestId.empty()) {
        const auto *entry = entryOf(found->second, caller);
        if (entry == nullptr)
            return std::nullopt;
        if (view == LogView::Stale && entry->source != RecordSource::OwnWrite)
            return std::nullopt;
        const auto &origin = entry->origin;
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
        if (found != m_origins.end()) {
            const auto readAt = m_readOrder.front().first;
            std::erase_if(found->second,
                          [readAt](const Entry &entry) { return entry.readAt == readAt; });
            if (found->second.empty())
                m_origins.erase(found);
        }
        m_readOrder.pop_front();
    }
}

} // namespace nutmegplank::version::streamorigin
