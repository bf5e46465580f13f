#include "process/membership/internal/majorityrule.h"

namespace nutmegplank::process::membership {

namespace {

auto wasHeard(const Member &member, base::TimePoint now, base::Duration bound) -> bool
{
    return member.lastHeard != base::TimePoint() && now - member.lastHeard <= bound;
}

} // namespace

auto hearsMajority(const MemberView &view, const std::string &self, base::TimePoint now,
                   base::Duration bound) -> bool
{
    auto known = std::size_t(0);
    auto heard = std::size_t(0);
    for (const auto &member : view.members) {
        if (member.state == MemberState::Leaving && !wasHeard(member, now, bound))
            continue;
        ++known;
        heard += member.id == self || wasHeard(member, now, bound) ? 1 : 0;
    }
    return heard * 2 > known;
}

auto confirmsConfiguration(const MemberView &view, const std::string &self, std::uint64_t version,
                           base::TimePoint now, base::Duration bound) -> bool
{
    for (const auto &member : view.members) {
        if (wasHeard(member, now, bound) && member.configurationVersion > version)
            return false;
    }
    return hearsMajority(view, self, now, bound);
}

} // namespace nutmegplank::process::membership
