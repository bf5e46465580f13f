#include "process/membership/internal/memberrecord.h"

namespace nutmegplank::process::membership {

auto toRecord(const Member &member, gossip::MemberRecord &record) -> void
{
    record.set_id(member.id);
    record.set_incarnation(member.incarnation);
    record.set_role(static_cast<std::uint32_t>(member.role));
    record.set_vm(member.vm);
    record.set_zone(member.zone);
    record.set_gossip_address(member.gossipAddress);
    record.set_link_address(member.linkAddress);
    record.set_http_address(member.httpAddress);
    record.set_state(static_cast<std::uint32_t>(member.state));
    record.set_configuration_version(member.configurationVersion);
    record.set_log_offset(member.logOffset);
}

auto fromRecord(const gossip::MemberRecord &record) -> Member
{
    auto member = Member();
    member.id = record.id();
    member.incarnation = record.incarnation();
    member.role = static_cast<Role>(std::min<std::uint32_t>(record.role(), ROLE_NAMES.size() - 1));
    member.vm = record.vm();
    member.zone = record.zone();
    member.gossipAddress = record.gossip_address();
    member.linkAddress = record.link_address();
    member.httpAddress = record.http_address();
    member.state = static_cast<MemberState>(
        std::min<std::uint32_t>(record.state(), MEMBER_STATE_NAMES.size() - 1));
    member.configurationVersion = record.configuration_version();
    member.logOffset = record.log_offset();
    return member;
}

} // namespace nutmegplank::process::membership
