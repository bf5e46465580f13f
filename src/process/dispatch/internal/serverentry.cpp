#include "process/dispatch/internal/serverentry.h"

namespace nutmegplank::process::dispatch {

using connection::backend::ProbeResult;
using connection::backend::ProbeVerdict;

namespace {

//! Silent probes in a row after which a server counts as dead.
constexpr auto MOST_SILENT_PROBES = 2U;
//! Failures within this time belong to one death.
constexpr auto DEATH_TIME = std::chrono::seconds(2);
//! How long requests of a previous owner of the shard are reckoned with.
constexpr auto FOREIGN_TIME = std::chrono::seconds(60);

} // namespace

ServerEntry::ServerEntry(inventory::BackendServer server, request::limit::LimitPolicy policy,
                         request::limit::LimitOptions options,
                         connection::backend::BackendPoolOptions pool, base::TimePoint now)
    : m_server(std::move(server))
    , m_limit(request::limit::makeLimit(policy, options, now))
    , m_options(options)
    , m_pool(m_server.address, std::move(pool))
    , m_since(now)
{ }

auto ServerEntry::forget(base::TimePoint now) -> void
{
    m_limit->becomeCold(now);
    m_pool.clear();
    m_since = now;
    m_alive = false;
    m_contacted = false;
    m_failures = 0;
}

auto ServerEntry::setLimits(request::limit::LimitPolicy policy,
                            request::limit::LimitOptions options, base::TimePoint now) -> void
{
    if (options == m_options)
        return;
    m_options = options;
    m_limit = request::limit::makeLimit(policy, options, now);
}

auto ServerEntry::onProbe(const ProbeResult &result, base::TimePoint now) -> ServerNews
{
    if (result.verdict != ProbeVerdict::Alive) {
        noteFailure(result.verdict);
        return ServerNews::Nothing;
    }
    m_failures = 0;
    auto news = onBootId(result.bootId, now);
    // Without a boot id, a server that was away may have restarted.
    const auto mayBeNew = !m_contacted || (!m_alive && result.bootId.empty());
    if (mayBeNew)
        m_limit->becomeCold(now);
    m_alive = true;
    noteLoad(result, now);
    m_contacted = true;
    return news;
}

auto ServerEntry::noteFailure(ProbeVerdict verdict) -> void
{
    ++m_failures;
    if (verdict == ProbeVerdict::Dead || m_failures >= MOST_SILENT_PROBES)
        m_alive = false;
    if (!m_alive)
        m_pool.clear();
}

auto ServerEntry::noteLoad(const ProbeResult &result, base::TimePoint now) -> void
{
    const auto turnedCold = result.cold && !m_reportedCold && !m_limit->isCold(now);
    if (turnedCold)
        m_limit->becomeCold(now);
    m_reportedCold = result.cold;
    if (result.weightVersion > 0)
        m_weightVersion = result.weightVersion;
    // The report is late, so the highest own load of the last two periods is taken off.
    const auto own = std::max(m_peakRunning, m_lastPeak);
    m_lastPeak = m_peakRunning;
    m_peakRunning = m_running;
    m_foreign = result.running > own ? result.running - own : 0;
    const auto provenWarm = !m_contacted && !result.cold && result.running > m_options.coldLimit;
    if (provenWarm)
        m_limit->becomeWarm(result.running, now);
}

auto ServerEntry::onBootId(const std::string &bootId, base::TimePoint now) -> ServerNews
{
    if (bootId.empty() || bootId == m_bootId)
        return ServerNews::Nothing;
    const auto restarted = !m_bootId.empty();
    m_bootId = bootId;
    if (!restarted)
        return ServerNews::Nothing;
    m_limit->becomeCold(now);
    m_pool.clear();
    m_weightVersion = 0;
    m_peakRunning = m_lastPeak = m_running;
    return ServerNews::Restarted;
}

auto ServerEntry::onWeightVersion(std::uint64_t version) -> void
{
    m_weightVersion = std::max(m_weightVersion, version);
}

auto ServerEntry::onConnectionLost(base::TimePoint now) -> std::uint32_t
{
    const auto beside = m_running > 0 ? m_running - 1 : 0;
    if (now - m_lostAt > DEATH_TIME)
        m_lostBeside = 0;
    m_lostAt = now;
    m_lostBeside = std::max(m_lostBeside, beside);
    return m_lostBeside;
}

auto ServerEntry::onStart() -> void
{
    ++m_running;
    m_peakRunning = std::max(m_peakRunning, m_running);
}

auto ServerEntry::isCold(base::TimePoint now) const -> bool
{
    return m_reportedCold || m_limit->isCold(now);
}

auto ServerEntry::allowance(base::TimePoint now) const -> std::uint32_t
{
    auto most = m_limit->limit(now);
    if (m_reportedCold)
        most = std::min(most, m_options.coldLimit);
    if (now - m_since >= FOREIGN_TIME)
        return most;
    return most > m_foreign ? most - m_foreign : 0;
}

auto ServerEntry::inService() const -> bool
{
    return !m_zoneOut && !m_gone && m_server.state == inventory::ServerState::Live;
}

auto ServerEntry::candidate(base::TimePoint now) const -> request::placement::Candidate
{
    auto candidate = request::placement::Candidate();
    candidate.id = m_server.id;
    candidate.alive = m_alive && m_suspicions == 0;
    candidate.leaving = m_gone || m_server.state != inventory::ServerState::Live;
    candidate.zoneOut = m_zoneOut;
    candidate.held = now < m_heldUntil;
    candidate.isolated = m_alone;
    candidate.cheap = m_server.cheap;
    candidate.running = m_running;
    candidate.limit = allowance(now);
    candidate.weightVersion = m_weightVersion;
    return candidate;
}

} // namespace nutmegplank::process::dispatch
