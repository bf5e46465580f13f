#include "request/rollout/memorycheck.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace nutmegplank::request::rollout {

auto mayHoldPrompt(const version::routing::RoutingTable &table,
                   const version::routing::Route &route, std::uint64_t promptTokens) -> bool
{
    return std::ranges::any_of(route.services, [&](const version::routing::ServiceShare &share) {
        if (share.weight <= 0)
            return false;
        const auto *service = table.findService(share.service);
        if (service == nullptr || !service->engine.has_value())
            return true;
        const auto memory = service->engine->cacheTokens;
        // The first generated token needs room as well.
        return memory == 0 || promptTokens < memory;
    });
}

auto findUnrunnable(const version::batch::Submission &submission,
                    const version::routing::RoutingTable &table) -> UnrunnableItems
{
    const auto &head = submission.head;
    auto result = UnrunnableItems();
    auto groups = std::set<std::string_view>();
    auto blockedGroups = std::set<std::string_view>();
    for (const auto &item : submission.items) {
        groups.insert(item.group);
        const auto *route = table.findRoute(head.host, connection::http::pathOf(item.path));
        if (route == nullptr || item.promptTokens == 0
            || mayHoldPrompt(table, *route, item.promptTokens))
            continue;
        if (result.items++ == 0)
            result.firstItem = item.id;
        blockedGroups.insert(item.group);
    }
    const auto wanted = std::max<std::size_t>(1, head.groupCount);
    result.blocksBatch = result.items > 0 && groups.size() - blockedGroups.size() < wanted;
    return result;
}

} // namespace nutmegplank::request::rollout
