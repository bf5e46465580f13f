#include "process/address/address.h"

#include <boost/json.hpp>

#include "base/hash.h"

namespace nutmegplank::process::address {

namespace {

//! Addresses in one answer at most, from the own zone and from the others.
constexpr auto MOST_OWN_ZONE = std::size_t(8);
constexpr auto MOST_OTHER_ZONES = std::size_t(8);

using membership::Member;
using membership::MemberState;

auto takesCallers(const Member &member, const version::configuration::Configuration &configuration)
    -> bool
{
    return member.role == membership::Role::Gateway && !configuration.isZoneOut(member.zone)
        && (member.state == MemberState::Alive || member.state == MemberState::Suspect);
}

auto candidates(const AddressQuery &query, const membership::MemberView &view,
                const version::configuration::Configuration &configuration) -> std::vector<Member>
{
    auto members = std::vector<Member>();
    for (const auto &member : view.members) {
        if (member.id != query.self.id && takesCallers(member, configuration))
            members.push_back(member);
    }
    if (!query.selfLeaving && !configuration.isZoneOut(query.self.zone))
        members.push_back(query.self);
    return members;
}

//! Appends \a members in the caller's order, suspected ones last, at most \a most.
auto append(std::vector<GatewayAddress> &output, const std::vector<Member> &members,
            const std::string &caller, std::size_t most) -> void
{
    auto ids = std::vector<std::string>();
    for (const auto &member : members)
        ids.push_back(member.id);
    auto ranking = base::rendezvousRanking(caller, ids);
    const auto isSuspect = [&members](const std::string &id) {
        const auto isIt = [&id](const Member &member) { return member.id == id; };
        return std::find_if(members.begin(), members.end(), isIt)->state == MemberState::Suspect;
    };
    std::stable_partition(ranking.begin(), ranking.end(),
                          [&isSuspect](const std::string &id) { return !isSuspect(id); });
    ranking.resize(std::min(ranking.size(), most));
    for (const auto &id : ranking) {
        const auto isIt = [&id](const Member &member) { return member.id == id; };
        const auto found = std::find_if(members.begin(), members.end(), isIt);
        output.push_back({ found->httpAddress, found->zone });
    }
}

} // namespace

auto chooseGateways(const AddressQuery &query, const membership::MemberView &view,
                    const version::configuration::Configuration &configuration)
    -> std::vector<GatewayAddress>
{
    auto members = candidates(query, view, configuration);
    const auto others =
        std::partition(members.begin(), members.end(),
                       [&query](const Member &member) { return member.zone == query.self.zone; });
    auto gateways = std::vector<GatewayAddress>();
    append(gateways, { members.begin(), others }, query.caller, MOST_OWN_ZONE);
    append(gateways, { others, members.end() }, query.caller, MOST_OTHER_ZONES);
    return gateways;
}

auto addressAnswer(const std::vector<GatewayAddress> &gateways, base::Duration keep) -> std::string
{
    auto addresses = boost::json::array();
    for (const auto &gateway : gateways) {
        addresses.push_back(boost::json::object {
            { "address", gateway.address },
            { "zone", gateway.zone },
        });
    }
    return boost::json::serialize(boost::json::object {
        { "addresses", std::move(addresses) },
        { "keep_ms", base::toMilliseconds(keep) },
    });
}

} // namespace nutmegplank::process::address
