#include "process/inventory/iinventory.h"

#include "base/hash.h"
#include "base/text.h"

namespace nutmegplank::process::inventory {

auto ServerView::find(const std::string &id) const -> const BackendServer *
{
    const auto found = std::lower_bound(
        servers.begin(), servers.end(), id,
        [](const BackendServer &server, const std::string &wanted) { return server.id < wanted; });
    return found != servers.end() && found->id == id ? &*found : nullptr;
}

auto shardsOf(const std::string &service, std::uint32_t shardCount) -> std::vector<std::string>
{
    auto shards = std::vector<std::string>();
    for (auto number = std::uint32_t(0); number < shardCount; ++number)
        shards.push_back(base::concat(service, "/", number));
    return shards;
}

auto shardOf(const BackendServer &server, std::uint32_t shardCount) -> std::string
{
    return base::rendezvousOwner(server.id, shardsOf(server.service, shardCount));
}

} // namespace nutmegplank::process::inventory
