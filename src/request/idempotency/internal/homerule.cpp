#include "request/idempotency/homerule.h"

#include "base/hash.h"

namespace nutmegplank::request::idempotency {

namespace {

//! Members are looked at now and then, and their death is noticed late.
constexpr auto OBSERVATION_DELAY = std::chrono::seconds(30);
constexpr auto COPIES = std::size_t(2);

auto isHome(const std::vector<HomeCandidate> &homes, const std::string &id) -> bool
{
    return std::any_of(homes.begin(), homes.end(),
                       [&id](const HomeCandidate &home) { return home.id == id; });
}

} // namespace

auto homesOf(const std::string &name, const std::vector<HomeCandidate> &candidates)
    -> std::vector<HomeCandidate>
{
    auto zones = std::map<std::string, std::string>();
    auto ids = std::vector<std::string>();
    for (const auto &candidate : candidates) {
        ids.push_back(candidate.id);
        zones[candidate.id] = candidate.zone;
    }
    auto homes = std::vector<HomeCandidate>();
    for (const auto &id : base::rendezvousRanking(name, ids))
        homes.push_back({ id, zones[id] });
    if (homes.size() <= MOST_HOMES)
        return homes;
    const auto &zone = homes.front().zone;
    const auto last = homes.begin() + MOST_HOMES - 1;
    const auto isElsewhere = [&zone](const HomeCandidate &home) { return home.zone != zone; };
    const auto other = std::find_if(homes.begin() + 1, homes.end(), isElsewhere);
    if (other != homes.end() && other > last)
        std::iter_swap(last, other);
    homes.resize(MOST_HOMES);
    return homes;
}

auto copiesNeeded(std::size_t homes) -> std::size_t
{
    return std::min(homes, COPIES);
}

auto vouchersNeeded(std::size_t homes) -> std::size_t
{
    return std::min(homes, MOST_HOMES - COPIES + 1);
}

Standing::Standing(HomeCandidate self, base::TimePoint startedAt, base::Duration memory)
    : m_self(std::move(self))
    , m_startedAt(startedAt)
    , m_memory(memory)
{ }

auto Standing::observe(const process::membership::MemberView &view, base::TimePoint now) -> void
{
    using process::membership::MemberState;
    m_liveOthers = 0;
    for (const auto &member : view.members) {
        if (member.role != process::membership::Role::Gateway || member.id == m_self.id)
            continue;
        auto &seen = m_seen.try_emplace(member.id, Seen { member.zone, now }).first->second;
        if (member.state == MemberState::Dead)
            continue;
        seen.lastLive = now;
        ++m_liveOthers;
    }
    const auto kept = m_memory + OBSERVATION_DELAY;
    std::erase_if(m_seen, [&](const auto &entry) { return now - entry.second.lastLive > kept; });
}

auto Standing::vouchesFor(const std::string &name, base::TimePoint now) const -> bool
{
    if (now - m_startedAt < m_memory && !m_bornEmpty)
        return false;
    // The last one left of three homes may be the one without a copy.
    if (m_liveOthers == 0 && m_seen.size() >= COPIES)
        return false;
    auto candidates = std::vector<HomeCandidate> { m_self };
    for (const auto &[id, seen] : m_seen)
        candidates.push_back({ id, seen.zone });
    return isHome(homesOf(name, candidates), m_self.id);
}

} // namespace nutmegplank::request::idempotency
