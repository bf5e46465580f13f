#include "process/admin/internal/adminviews.h"

#include <boost/json.hpp>

#include "version/state/statecodec.h"

namespace nutmegplank::process::admin {

namespace {

namespace json = boost::json;

auto memberJson(const membership::Member &member, base::TimePoint now) -> json::object
{
    return { { "id", member.id },
             { "role", base::nameOf(membership::ROLE_NAMES, member.role) },
             { "vm", member.vm },
             { "zone", member.zone },
             { "state", base::nameOf(membership::MEMBER_STATE_NAMES, member.state) },
             { "http", member.httpAddress },
             { "configuration_version", member.configurationVersion },
             { "log_offset", member.logOffset },
             { "heard_ms_ago", base::toMilliseconds(now - member.lastHeard) } };
}

auto serverJson(const inventory::BackendServer &server) -> json::object
{
    return { { "id", server.id },
             { "service", server.service },
             { "zone", server.zone },
             { "address", server.address },
             { "cheap", server.cheap },
             { "checks_fencing", server.checksFencing },
             { "order_id", server.orderId },
             { "state", base::nameOf(inventory::SERVER_STATE_NAMES, server.state) } };
}

} // namespace

auto stateView(const version::state::LogState &state) -> json::object
{
    auto object = version::state::stateToJson(state);
    object["version"] = state.configuration->version;
    object["configuration"].as_object().erase("version");
    object.erase("audit");
    object.erase("usage_marks");
    return object;
}

auto membersView(const membership::MemberView &view, const std::string &ownId, base::TimePoint now)
    -> json::object
{
    auto members = json::array();
    for (const auto &member : view.members) {
        auto object = memberJson(member, now);
        if (member.id == ownId)
            object["heard_ms_ago"] = 0;
        members.emplace_back(std::move(object));
    }
    return { { "members", std::move(members) } };
}

auto serversView(const inventory::ServerView &view) -> json::object
{
    auto servers = json::array();
    for (const auto &server : view.servers)
        servers.emplace_back(serverJson(server));
    return { { "revision", view.revision }, { "servers", std::move(servers) } };
}

auto auditView(const version::state::LogState &state, std::uint64_t from) -> json::object
{
    auto entries = json::array();
    for (const auto &entry : state.audit) {
        if (entry->offset >= from)
            entries.emplace_back(version::state::auditToJson(*entry));
    }
    return { { "entries", std::move(entries) } };
}

} // namespace nutmegplank::process::admin
