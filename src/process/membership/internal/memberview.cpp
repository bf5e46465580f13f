#include "process/membership/imembership.h"

namespace nutmegplank::process::membership {

auto MemberView::find(const std::string &id) const -> const Member *
{
    const auto found = std::lower_bound(
        members.begin(), members.end(), id,
        [](const Member &member, const std::string &wanted) { return member.id < wanted; });
    return found != members.end() && found->id == id ? &*found : nullptr;
}

auto MemberView::liveIds(Role role) const -> std::vector<std::string>
{
    auto ids = std::vector<std::string>();
    for (const auto &member : members) {
        const auto live =
            member.state == MemberState::Alive || member.state == MemberState::Suspect;
        if (live && member.role == role)
            ids.push_back(member.id);
    }
    return ids;
}

} // namespace nutmegplank::process::membership
