#include "process/health/serverhealth.h"

#include <algorithm>

#include "process/logging/logging.h"

namespace nutmegplank::process::health {

namespace {

//! The span over which a cold server's requests are counted.
constexpr auto COLD_SPAN = std::chrono::milliseconds(1100);

} // namespace

auto ServerHealth::startsLeft(const std::string &server, base::TimePoint coldUntil,
                              const ColdRule &rule, base::TimePoint now) const -> std::uint32_t
{
    const auto found = m_entries.find(server);
    static const auto unknownServer = Entry();
    const auto &entry = found == m_entries.end() ? unknownServer : found->second;
    if (now < entry.pausedUntil || now < entry.fullUntil)
        return 0;
    const auto withinLimit = m_limits.startsLeft(server, now);
    if (rule.perSecond <= 0 || (now >= coldUntil && now >= entry.coldUntil))
        return withinLimit;
    const auto recent = std::ranges::count_if(
        entry.starts, [now](base::TimePoint start) { return now - start < COLD_SPAN; });
    const auto allowed = static_cast<std::ptrdiff_t>(std::max(1.0, rule.perSecond));
    const auto withinColdRule =
        recent < allowed ? static_cast<std::uint32_t>(allowed - recent) : 0U;
    return std::min(withinColdRule, withinLimit);
}

auto ServerHealth::paused(const std::string &server, base::TimePoint now) const -> bool
{
    const auto found = m_entries.find(server);
    return found != m_entries.end() && now < found->second.pausedUntil;
}

auto ServerHealth::unreachableAt(const std::string &server) const -> base::TimePoint
{
    const auto found = m_entries.find(server);
    return found == m_entries.end() ? base::TimePoint() : found->second.unreachableAt;
}

auto ServerHealth::noteUnreachable(const std::string &server, const ColdRule &rule,
                                   base::TimePoint now) -> void
{
    m_entries[server].unreachableAt = now;
    noteLost(server, rule, now);
}

auto ServerHealth::noteStart(const std::string &server, base::TimePoint now) -> void
{
    auto &starts = m_entries[server].starts;
    while (!starts.empty() && now - starts.front() >= COLD_SPAN)
        starts.pop_front();
    starts.push_back(now);
    m_limits.noteSent(server, now);
}

auto ServerHealth::noteAnswer(const std::string &server) -> void
{
    auto &entry = m_entries[server];
    if (entry.losses > 0)
        logging::info("server.regained", { { "server", server }, { "losses", entry.losses } });
    entry.losses = 0;
    entry.pausedUntil = {};
}

auto ServerHealth::noteFull(const std::string &server, base::TimePoint now) -> void
{
    m_entries[server].fullUntil = now + m_times.fullPause;
}

auto ServerHealth::noteTaken(const std::string &server, const RequestSize &size) -> void
{
    m_refusedSizes.noteTaken(server, size);
}

auto ServerHealth::noteRefused(const std::string &server, const RequestSize &size,
                               base::TimePoint sentAt, base::TimePoint now) -> void
{
    if (m_refusedSizes.noteRefused(server, size, sentAt, now) == RefusalCause::Full)
        noteFull(server, now);
}

auto ServerHealth::refusedSizes(const std::string &server, base::TimePoint now) const
    -> std::vector<RequestSize>
{
    return m_refusedSizes.refused(server, now);
}

auto ServerHealth::mayTake(const std::string &server, const RequestSize &size,
                           base::TimePoint now) const -> bool
{
    return std::ranges::none_of(refusedSizes(server, now), [&](const RequestSize &refused) {
        return isAsLargeAs(size, refused);
    });
}

auto ServerHealth::forget(const std::string &server) -> void
{
    m_entries.erase(server);
    m_refusedSizes.forget(server);
}

auto ServerHealth::noteWrongServer(const std::string &server, base::TimePoint now) -> void
{
    m_entries[server].pausedUntil = now + m_times.wrongServerPause;
    logging::warning("server.address_reused", { { "server", server } });
}

auto ServerHealth::noteLost(const std::string &server, const ColdRule &rule, base::TimePoint now)
    -> void
{
    auto &entry = m_entries[server];
    // Many requests lose their connections at one moment; that is one loss.
    if (now < entry.pausedUntil)
        return;
    const auto doublings = std::min(entry.losses, 5U);
    const auto pause =
        std::min<base::Duration>(m_times.firstPause * (1 << doublings), m_times.longestPause);
    ++entry.losses;
    entry.pausedUntil = now + pause;
    entry.coldUntil = now + pause + rule.coldStart;
    logging::warning("server.lost",
                     { { "server", server },
                       { "losses", entry.losses },
                       { "pause_ms", base::toMilliseconds(pause) } });
}

} // namespace nutmegplank::process::health
