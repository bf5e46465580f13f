#include "request/rollout/transcript.h"

#include <algorithm>

namespace nutmegplank::request::rollout {

auto Transcript::beginRun(std::optional<std::uint64_t> version, const std::string &software) -> void
{
    m_version = version;
    if (m_events == 0)
        m_software = software;
}

auto Transcript::append(const Event &event) -> AppendResult
{
    if (m_events > 0 && event.id != m_lastId + 1)
        return AppendResult::Gap;
    // Event ids start at 0 or 1; a higher first id means that the beginning of the stream is
    // missing.
    if (m_events == 0 && event.id > 1)
        return AppendResult::Gap;
    const auto separator = m_events > 0 ? std::size_t(1) : std::size_t(0);
    if (m_events >= m_limit.events || m_text.size() + separator + event.data.size() > m_limit.bytes)
        return AppendResult::TooLarge;
    if (event.weightVersion.has_value())
        m_version = event.weightVersion;
    if (!m_version.has_value())
        return AppendResult::NoVersion;
    if (*m_version < m_rules.minVersion)
        return AppendResult::OldVersion;
    if (std::ranges::find(m_versions, *m_version) == m_versions.end()) {
        if (m_rules.singleVersion && !m_versions.empty())
            return AppendResult::MixedVersions;
        m_versions.push_back(*m_version);
    }
    if (m_events > 0)
        m_text += '\n';
    m_text += event.data;
    m_lastId = event.id;
    ++m_events;
    return AppendResult::Appended;
}

auto Transcript::restore(std::uint64_t lastId, std::uint32_t events, std::string text,
                         std::vector<std::uint64_t> versions, std::string software) -> void
{
    m_version.reset();
    m_lastId = lastId;
    m_events = events;
    m_text = std::move(text);
    m_versions = std::move(versions);
    m_software = std::move(software);
}

auto Transcript::reset() -> void
{
    m_version.reset();
    m_lastId = 0;
    m_events = 0;
    m_text.clear();
    m_versions.clear();
    m_software.clear();
}

} // namespace nutmegplank::request::rollout
