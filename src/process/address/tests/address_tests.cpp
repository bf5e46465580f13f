#include <gtest/gtest.h>

#include "process/address/address.h"

using namespace nutmegplank;
using namespace nutmegplank::process;
using namespace nutmegplank::process::address;
using membership::MemberState;

namespace {

auto gateway(const std::string &id, const std::string &zone, MemberState state = MemberState::Alive)
    -> membership::Member
{
    auto member = membership::Member();
    member.id = id;
    member.zone = zone;
    member.httpAddress = id + ":80";
    member.state = state;
    return member;
}

auto addresses(const std::vector<GatewayAddress> &gateways) -> std::vector<std::string>
{
    auto output = std::vector<std::string>();
    for (const auto &entry : gateways)
        output.push_back(entry.address);
    return output;
}

} // namespace

TEST(Address, Address_Answer_LeavesOutLeavingDeadAndZonesOut)
{
    auto view = membership::MemberView();
    view.members = { gateway("g1", "a"), gateway("g2", "b"), gateway("g3", "c"),
                     gateway("g4", "b", MemberState::Leaving),
                     gateway("g5", "b", MemberState::Dead) };
    auto configuration = version::configuration::Configuration();
    configuration.zones["c"] = { "c", "r", true };
    auto query = AddressQuery { gateway("g1", "a"), false, "caller", std::chrono::seconds(2) };
    using Expected = std::vector<std::string>;
    EXPECT_EQ(addresses(chooseGateways(query, view, configuration)),
              (Expected { "g1:80", "g2:80" }));
    query.selfLeaving = true;
    EXPECT_EQ(addresses(chooseGateways(query, view, configuration)), (Expected { "g2:80" }));
}

TEST(Address, Address_Answer_SpreadsCallersWithinTheOwnZoneFirst)
{
    auto view = membership::MemberView();
    for (const auto *id : { "g1", "g2", "g3" })
        view.members.push_back(gateway(id, "a"));
    view.members.push_back(gateway("g4", "b"));
    auto firsts = std::map<std::string, int>();
    for (auto caller = 0; caller < 300; ++caller) {
        const auto query = AddressQuery { view.members[0], false, std::to_string(caller), {} };
        const auto gateways = chooseGateways(query, view, {});
        EXPECT_EQ(gateways.size(), 4U);
        EXPECT_EQ(gateways.back().address, "g4:80");
        ++firsts[gateways.front().address];
    }
    for (const auto *id : { "g1:80", "g2:80", "g3:80" })
        EXPECT_GT(firsts[id], 60) << id;
}
