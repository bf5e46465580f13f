#include "process/membership/internal/membertable.h"

#include <bit>

namespace nutmegplank::process::membership {

namespace {

//! Which of two states at the same incarnation is the later news.
auto precedence(MemberState state) -> int
{
    switch (state) {
    case MemberState::Alive:
        return 0;
    case MemberState::Suspect:
        return 1;
    case MemberState::Leaving:
        return 2;
    case MemberState::Dead:
        return 3;
    }
    return 0;
}

auto isNewer(const Member &news, const Member &known) -> bool
{
    if (news.incarnation != known.incarnation)
        return news.incarnation > known.incarnation;
    return precedence(news.state) > precedence(known.state);
}

} // namespace

MemberTable::MemberTable(Member self, DetectionTimes times)
    : m_self(std::move(self))
    , m_times(times)
{ }

auto MemberTable::refute(const Member &news) -> bool
{
    const auto wrong = news.state == MemberState::Suspect || news.state == MemberState::Dead;
    if (!wrong || news.incarnation < m_self.incarnation)
        return false;
    m_self.incarnation = news.incarnation + 1;
    m_selfTold = 0;
    return true;
}

auto MemberTable::learn(const Member &news, base::TimePoint now) -> bool
{
    if (news.id == m_self.id)
        return refute(news);
    auto found = m_entries.find(news.id);
    if (found == m_entries.end()) {
        if (news.state == MemberState::Dead)
            return false;
        auto entry = Entry { news, now, 0 };
        entry.member.lastHeard = {};
        m_entries.emplace(news.id, std::move(entry));
        return true;
    }
    auto &entry = found->second;
    if (!isNewer(news, entry.member))
        return false;
    const auto lastHeard = entry.member.lastHeard;
    entry.member = news;
    entry.member.lastHeard = lastHeard;
    entry.stateSince = now;
    entry.told = 0;
    return true;
}

auto MemberTable::hear(const Member &sender, base::TimePoint now) -> bool
{
    if (sender.id == m_self.id)
        return false;
    const auto changed = learn(sender, now);
    auto &known = m_entries[sender.id].member;
    if (known.id.empty() || sender.incarnation < known.incarnation)
        return changed;
    known.lastHeard = now;
    known.configurationVersion = std::max(known.configurationVersion, sender.configurationVersion);
    known.logOffset = std::max(known.logOffset, sender.logOffset);
    return changed;
}

auto MemberTable::suspect(const std::string &id, base::TimePoint now) -> void
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return;
    auto &entry = found->second;
    if (entry.member.state == MemberState::Dead || entry.member.state == MemberState::Suspect)
        return;
    entry.member.state =
        entry.member.state == MemberState::Leaving ? MemberState::Dead : MemberState::Suspect;
    entry.stateSince = now;
    entry.told = 0;
}

auto MemberTable::confirmGone(const std::string &gossipAddress, base::TimePoint now) -> bool
{
    auto changed = false;
    for (auto &[id, entry] : m_entries) {
        if (entry.member.gossipAddress != gossipAddress || entry.member.state == MemberState::Dead)
            continue;
        entry.member.state = MemberState::Dead;
        entry.stateSince = now;
        entry.told = 0;
        changed = true;
    }
    return changed;
}

auto MemberTable::expire(base::TimePoint now) -> bool
{
    auto changed = false;
    for (auto &[id, entry] : m_entries) {
        if (entry.member.state != MemberState::Suspect
            || now - entry.stateSince < m_times.suspectFor)
            continue;
        entry.member.state = MemberState::Dead;
        entry.stateSince = now;
        entry.told = 0;
        changed = true;
    }
    const auto dropped = std::erase_if(m_entries, [this, now](const auto &item) {
        const auto &entry = item.second;
        return entry.member.state == MemberState::Dead
            && now - entry.stateSince >= m_times.keepDead;
    });
    return changed || dropped > 0;
}

auto MemberTable::setProgress(OwnProgress progress) -> void
{
    m_self.configurationVersion =
        std::max(m_self.configurationVersion, progress.configurationVersion);
    m_self.logOffset = std::max(m_self.logOffset, progress.logOffset);
}

auto MemberTable::leave() -> void
{
    m_self.state = MemberState::Leaving;
    ++m_self.incarnation;
    m_selfTold = 0;
}

auto MemberTable::probeTargets() const -> std::vector<std::string>
{
    auto targets = std::vector<std::string>();
    for (const auto &[id, entry] : m_entries)
        targets.push_back(id);
    return targets;
}

auto MemberTable::find(const std::string &id) const -> const Member *
{
    const auto found = m_entries.find(id);
    return found == m_entries.end() ? nullptr : &found->second.member;
}

auto MemberTable::all() const -> std::vector<Member>
{
    auto members = std::vector<Member> { m_self };
    for (const auto &[id, entry] : m_entries)
        members.push_back(entry.member);
    return members;
}

auto MemberTable::view() const -> MemberViewPtr
{
    auto view = std::make_shared<MemberView>();
    view->members = all();
    std::sort(view->members.begin(), view->members.end(),
              [](const Member &left, const Member &right) { return left.id < right.id; });
    return view;
}

auto MemberTable::retellLimit() const -> std::uint32_t
{
    constexpr auto RETELL_FACTOR = 3U;
    return RETELL_FACTOR * static_cast<std::uint32_t>(std::bit_width(m_entries.size() + 1));
}

auto MemberTable::takeNews(std::size_t count) -> std::vector<Member>
{
    auto candidates = std::vector<Entry *>();
    for (auto &[id, entry] : m_entries) {
        if (entry.told < retellLimit())
            candidates.push_back(&entry);
    }
    const auto taken = std::min(count, candidates.size());
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(taken),
                      candidates.end(), [](const Entry *left, const Entry *right) {
                          return left->told < right->told;
                      });
    auto news = std::vector<Member>();
    for (auto index = std::size_t(0); index < taken; ++index) {
        ++candidates[index]->told;
        news.push_back(candidates[index]->member);
    }
    return news;
}

} // namespace nutmegplank::process::membership
