#include "request/forward/poisonrequestdetector.h"

#include "base/hash.h"
#include "base/text.h"
#include "process/logging/logging.h"

namespace nutmegplank::request::forward {

namespace {

//! Two crashes may be coincidence; a third is taken as caused by the request.
constexpr auto CRASHES_TO_REFUSE = 3U;
//! Entries expire this long after the last crash here or the last report from another machine.
constexpr auto CRASH_RETENTION = std::chrono::seconds(60);

} // namespace

auto PoisonRequestDetector::fingerprintOf(std::string_view workspace, std::string_view path,
                                          std::string_view body) -> std::string
{
    return base::sha256Hex({ workspace, "\n", path, "\n", body }).substr(0, 32);
}

auto PoisonRequestDetector::isPoison(const std::string &fingerprint, base::TimePoint now) const
    -> bool
{
    const auto found = m_entries.find(fingerprint);
    if (found == m_entries.end() || now >= found->second.expiresAt)
        return false;
    auto crashes = found->second.localCrashes;
    for (const auto &[machine, count] : found->second.remoteCrashes)
        crashes += count;
    return crashes >= CRASHES_TO_REFUSE;
}

auto PoisonRequestDetector::recordCrash(const std::string &fingerprint, base::TimePoint now) -> void
{
    auto &entry = m_entries[fingerprint];
    ++entry.localCrashes;
    entry.expiresAt = now + CRASH_RETENTION;
    process::logging::warning(
        "request.crash_suspected",
        { { "fingerprint", fingerprint }, { "local_crashes", entry.localCrashes } });
}

auto PoisonRequestDetector::clear(const std::string &fingerprint) -> void
{
    const auto found = m_entries.find(fingerprint);
    if (found != m_entries.end())
        m_entries.erase(found);
}

auto PoisonRequestDetector::setRemoteCrashes(const std::string &machine,
                                             const RequestCrashCount &crashCount,
                                             base::TimePoint now) -> void
{
    auto &entry = m_entries[crashCount.fingerprint];
    entry.remoteCrashes[machine] = crashCount.crashes;
    entry.expiresAt = now + CRASH_RETENTION;
}

auto PoisonRequestDetector::localCounts() const -> std::vector<RequestCrashCount>
{
    auto crashCounts = std::vector<RequestCrashCount>();
    for (const auto &[fingerprint, entry] : m_entries) {
        if (entry.localCrashes > 0)
            crashCounts.push_back({ fingerprint, entry.localCrashes });
    }
    return crashCounts;
}

auto PoisonRequestDetector::expire(base::TimePoint now) -> void
{
    std::erase_if(m_entries, [now](const auto &entry) { return now >= entry.second.expiresAt; });
}

} // namespace nutmegplank::request::forward
