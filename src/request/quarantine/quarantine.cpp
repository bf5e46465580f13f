#include "request/quarantine/quarantine.h"

#include "base/hash.h"
#include "base/text.h"

namespace nutmegplank::request::quarantine {

namespace {

constexpr auto DEATHS_TO_REFUSE = std::uint32_t(2);
//! At this many entries, an arbitrary one is dropped before each update.
constexpr auto MAX_ENTRIES = std::size_t(10'000);

} // namespace

auto fingerprintOf(const std::string &workspace, const std::string &body) -> std::string
{
    return base::sha256Hex(base::concat(workspace.size(), ":", workspace, body));
}

Quarantine::Quarantine(QuarantineOptions options, Announce announce)
    : m_options(options)
    , m_announce(std::move(announce))
{ }

auto Quarantine::Entry::deaths() const -> std::uint32_t
{
    return std::max(isolatedDeaths + (diedWithConcurrentRequests ? 1 : 0), reportedDeaths);
}

auto Quarantine::handling(const std::string &fingerprint, base::TimePoint now) -> Handling
{
    const auto lock = std::lock_guard(m_mutex);
    const auto found = m_entries.find(fingerprint);
    if (found == m_entries.end() || found->second.expiresAt <= now)
        return Handling::Normal;
    return found->second.deaths() >= DEATHS_TO_REFUSE ? Handling::Refuse : Handling::Isolate;
}

auto Quarantine::recordDeath(const std::string &fingerprint, std::uint32_t concurrentRequests,
                             base::TimePoint now) -> void
{
    auto message = wire::Quarantine();
    {
        const auto lock = std::lock_guard(m_mutex);
        dropExpired(now);
        auto &entry = m_entries[fingerprint];
        if (concurrentRequests > 0)
            entry.diedWithConcurrentRequests = true;
        else
            ++entry.isolatedDeaths;
        // The count reported by other gateways does not include this death yet.
        if (concurrentRequests == 0 && entry.reportedDeaths > 0)
            ++entry.reportedDeaths;
        entry.expiresAt = now + m_options.duration;
        message.set_fingerprint(fingerprint);
        message.set_deaths(entry.deaths());
        message.set_hold_ms(static_cast<std::uint32_t>(base::toMilliseconds(m_options.duration)));
    }
    if (m_announce)
        m_announce(message);
}

auto Quarantine::recordSuccess(const std::string &fingerprint) -> void
{
    {
        const auto lock = std::lock_guard(m_mutex);
        m_entries.erase(fingerprint);
    }
    auto message = wire::Quarantine();
    message.set_fingerprint(fingerprint);
    if (m_announce)
        m_announce(message);
}

auto Quarantine::applyRemote(const wire::Quarantine &message, base::TimePoint now) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    dropExpired(now);
    if (message.deaths() == 0) {
        m_entries.erase(message.fingerprint());
        return;
    }
    auto &entry = m_entries[message.fingerprint()];
    entry.reportedDeaths = std::max(entry.reportedDeaths, message.deaths());
    // hold_ms is the time for which the sender keeps its entry.
    const auto duration =
        std::min<base::Duration>(std::chrono::milliseconds(message.hold_ms()), m_options.duration);
    entry.expiresAt = std::max(entry.expiresAt, now + duration);
}

auto Quarantine::size() const -> std::size_t
{
    const auto lock = std::lock_guard(m_mutex);
    return m_entries.size();
}

auto Quarantine::dropExpired(base::TimePoint now) -> void
{
    std::erase_if(m_entries, [now](const auto &entry) { return entry.second.expiresAt <= now; });
    if (m_entries.size() >= MAX_ENTRIES)
        m_entries.erase(m_entries.begin());
}

} // namespace nutmegplank::request::quarantine
