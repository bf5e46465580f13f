#include "request/forward/suspects.h"

#include "base/hash.h"
#include "base/text.h"
#include "process/logging/logging.h"

namespace nutmegplank::request::forward {

namespace {

//! Two crashes may be chance in a bad moment; a third one is not.
constexpr auto CONDEMNED_AT = 3U;
//! How long a crash is remembered.
constexpr auto MEMORY = std::chrono::seconds(60);

} // namespace

auto Suspects::fingerprintOf(std::string_view workspace, std::string_view path,
                             std::string_view body) -> std::string
{
    return base::sha256Hex(base::concat(workspace, "\n", path, "\n", body)).substr(0, 32);
}

auto Suspects::condemned(const std::string &fingerprint, base::TimePoint now) const -> bool
{
    const auto found = m_entries.find(fingerprint);
    if (found == m_entries.end() || now >= found->second.until)
        return false;
    auto crashes = found->second.own;
    for (const auto &[machine, count] : found->second.others)
        crashes += count;
    return crashes >= CONDEMNED_AT;
}

auto Suspects::noteCrash(const std::string &fingerprint, base::TimePoint now) -> void
{
    auto &entry = m_entries[fingerprint];
    ++entry.own;
    entry.until = now + MEMORY;
    process::logging::warning("request.suspected",
                              { { "fingerprint", fingerprint }, { "crashes_here", entry.own } });
}

auto Suspects::clear(const std::string &fingerprint) -> void
{
    const auto found = m_entries.find(fingerprint);
    if (found != m_entries.end())
        m_entries.erase(found);
}

auto Suspects::learn(const std::string &machine, const Suspicion &suspicion, base::TimePoint now)
    -> void
{
    auto &entry = m_entries[suspicion.fingerprint];
    entry.others[machine] = suspicion.crashes;
    entry.until = now + MEMORY;
}

auto Suspects::own() const -> std::vector<Suspicion>
{
    auto suspicions = std::vector<Suspicion>();
    for (const auto &[fingerprint, entry] : m_entries) {
        if (entry.own > 0)
            suspicions.push_back({ fingerprint, entry.own });
    }
    return suspicions;
}

auto Suspects::expire(base::TimePoint now) -> void
{
    std::erase_if(m_entries, [now](const auto &entry) { return now >= entry.second.until; });
}

} // namespace nutmegplank::request::forward
