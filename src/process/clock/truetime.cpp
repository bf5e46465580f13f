#include "process/clock/truetime.h"

#include <algorithm>
#include <vector>

namespace nutmegplank::process::clock {

namespace {

//! Clocks of machines agree within some tens of milliseconds, and what is heard of a peer is up to
//! a second old; a jump that matters for a window of 5 s is larger than this.
constexpr auto TOLERANCE_MS = std::int64_t(900);
//! A peer that was not heard for this long has no say.
constexpr auto PEER_MEMORY = std::chrono::seconds(5);
//! How long the best word of a peer counts before a worse one replaces it: a peer whose own clock
//! was corrected shows within this.
constexpr auto BEST_FOR = std::chrono::seconds(3);
//! Fewer peers than this decide nothing.
constexpr auto LEAST_PEERS = std::size_t(2);

auto bootMs(base::TimePoint now) -> std::int64_t
{
    return base::toMilliseconds(now.time_since_epoch());
}

} // namespace

TrueTime::TrueTime(std::int64_t wallMs, base::TimePoint now)
    : m_offset(wallMs - bootMs(now))
{ }

auto TrueTime::milliseconds(base::TimePoint now) const -> std::int64_t
{
    return bootMs(now) + m_offset;
}

auto TrueTime::hear(const std::string &peer, std::int64_t peerMs, base::TimePoint now) -> void
{
    const auto offset = peerMs - bootMs(now);
    const auto known = m_peers.find(peer);
    // What took longest to arrive says least: of a peer's words the one that looks newest counts.
    const auto better = known == m_peers.end() || offset >= known->second.offset
        || now - known->second.at > BEST_FOR;
    if (better)
        m_peers[peer] = Heard { offset, now };
    correct(now);
}

auto TrueTime::correct(base::TimePoint now) -> void
{
    std::erase_if(m_peers,
                  [now](const auto &entry) { return now - entry.second.at > PEER_MEMORY; });
    if (m_peers.size() < LEAST_PEERS)
        return;
    auto offsets = std::vector<std::int64_t> { m_offset };
    for (const auto &[peer, heard] : m_peers)
        offsets.push_back(heard.offset);
    const auto middle = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
    std::ranges::nth_element(offsets, middle);
    if (std::abs(*middle - m_offset) > TOLERANCE_MS)
        m_offset = *middle;
}

} // namespace nutmegplank::process::clock
