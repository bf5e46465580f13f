#include "process/admin/internal/inforce.h"

namespace nutmegplank::process::admin {

auto judgeInForce(const std::vector<membership::Member> &members, const InForceQuestion &question,
                  base::TimePoint now) -> InForceVerdict
{
    auto verdict = InForceVerdict();
    for (const auto &member : members) {
        const auto isSelf = member.id == question.ownId;
        const auto version = isSelf ? question.ownVersion : member.configurationVersion;
        if (version >= question.version)
            continue;
        const auto silentSince = std::max(member.lastHeard, question.versionSeen);
        if (!isSelf && now - silentSince > question.confirmBound)
            verdict.fenced.push_back(member.id);
        else
            verdict.behind.push_back(member.id);
    }
    verdict.inForce = question.ownVersion >= question.version && verdict.behind.empty();
    return verdict;
}

} // namespace nutmegplank::process::admin
