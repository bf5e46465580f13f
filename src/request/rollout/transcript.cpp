#include "request/rollout/transcript.h"

#include <algorithm>

namespace nutmegplank::request::rollout {

auto Transcript::append(const Event &event) -> AppendVerdict
{
    if (m_events > 0 && event.id != m_lastId + 1)
        return AppendVerdict::Gap;
    // A stream begins with event 0 or 1; anything later means that its beginning is missing.
    if (m_events == 0 && event.id > 1)
        return AppendVerdict::Gap;
    if (event.weightVersion.has_value())
        m_version = event.weightVersion;
    if (!m_version.has_value())
        return AppendVerdict::NoVersion;
    if (*m_version < m_rules.minVersion)
        return AppendVerdict::OldVersion;
    if (std::ranges::find(m_versions, *m_version) == m_versions.end()) {
        if (m_rules.singleVersion && !m_versions.empty())
            return AppendVerdict::Mixed;
        m_versions.push_back(*m_version);
    }
    if (m_events > 0)
        m_text += '\n';
    m_text += event.data;
    m_lastId = event.id;
    ++m_events;
    return AppendVerdict::Taken;
}

auto Transcript::restore(std::uint64_t lastId, std::uint32_t events, std::string text,
                         std::vector<std::uint64_t> versions) -> void
{
    m_version.reset();
    m_lastId = lastId;
    m_events = events;
    m_text = std::move(text);
    m_versions = std::move(versions);
}

auto Transcript::reset() -> void
{
    m_version.reset();
    m_lastId = 0;
    m_events = 0;
    m_text.clear();
    m_versions.clear();
}

} // namespace nutmegplank::request::rollout
