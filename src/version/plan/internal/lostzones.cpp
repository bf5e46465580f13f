#include "version/plan/lostzones.h"

#include <map>

namespace nutmegplank::version::plan {

namespace {

constexpr auto MIN_DEAD_SERVERS = 2;

struct ZoneHealth
{
    int alive = 0;
    int dead = 0;
};

} // namespace

auto lostZones(const process::inventory::ServerView &servers,
               const process::reports::ServerLoads &loads) -> std::set<std::string>
{
    auto health = std::map<std::string, ZoneHealth>();
    for (const auto &server : servers.servers) {
        const auto load = loads.find(server.id);
        if (server.state != process::inventory::ServerState::Live || load == loads.end())
            continue;
        auto &zone = health[server.zone];
        ++(load->second.alive ? zone.alive : zone.dead);
    }
    auto lost = std::set<std::string>();
    for (const auto &[zone, counts] : health) {
        if (counts.alive == 0 && counts.dead >= MIN_DEAD_SERVERS)
            lost.insert(zone);
    }
    return lost;
}

} // namespace nutmegplank::version::plan
