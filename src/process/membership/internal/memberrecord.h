#pragma once

#include "process/membership/imembership.h"
#include "process/membership/membership.pb.h"

namespace nutmegplank::process::membership {

auto toRecord(const Member &member, gossip::MemberRecord &record) -> void;
auto fromRecord(const gossip::MemberRecord &record) -> Member;

} // namespace nutmegplank::process::membership
