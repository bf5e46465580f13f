#include "process/members/memberlist.h"

#include "process/logging/logging.h"

namespace nutmegplank::process::members {

auto MemberList::hear(const record::MemberRecord &record, base::Duration age, base::TimePoint now)
    -> void
{
    auto &member = m_members[record.node()];
    if (member.incarnation != record.incarnation() || member.serving != record.serving())
        logging::info("member.changed",
                      { { "member", record.node() },
                        { "incarnation", record.incarnation() },
                        { "address", record.address() },
                        { "serving", record.serving() },
                        { "age_ms", base::toMilliseconds(age) } });
    member.node = record.node();
    member.incarnation = record.incarnation();
    member.address = record.address();
    member.zone = record.zone();
    member.serving = record.serving();
    member.heardAt = now - age;
}

auto MemberList::serving(base::TimePoint logAnsweredAt, base::TimePoint logRegainedAt,
                         base::TimePoint now) const -> std::vector<Member>
{
    const auto returning = now - logRegainedAt < m_times.returnGrace;
    // Ages count up to the last answer of the log: its silence says nothing of the members.
    const auto heardUntil = std::min(now, logAnsweredAt);
    auto living = std::vector<Member>();
    for (const auto &[node, member] : m_members) {
        const auto silent = heardUntil - member.heardAt;
        const auto lost = silent > m_times.lostAfter && !returning;
        if (member.serving && !lost)
            living.push_back(member);
    }
    return living;
}

} // namespace nutmegplank::process::members
