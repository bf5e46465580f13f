#include "request/forward/evenload.h"

#include <algorithm>
#include <map>

#include "base/hash.h"

namespace nutmegplank::request::forward {

auto needsEvenLoad(std::uint64_t slots, std::size_t machineCount) -> bool
{
    return slots < machineCount;
}

auto homeServer(const std::string &machine, std::vector<std::string> machines,
                const std::vector<std::string> &servers) -> std::string
{
    if (servers.empty())
        return {};
    if (std::ranges::find(machines, machine) == machines.end())
        machines.push_back(machine);
    // By hash, so that the machines of one zone do not take all places of a server.
    std::ranges::sort(machines, {}, [](const std::string &name) { return base::hash64(name); });
    const auto places = (machines.size() + servers.size() - 1) / servers.size();
    auto taken = std::map<std::string, std::size_t>();
    for (const auto &name : machines) {
        for (const auto &server : base::rendezvousRanking(name, servers)) {
            if (taken[server] >= places)
                continue;
            ++taken[server];
            if (name == machine)
                return server;
            break;
        }
    }
    return servers.front();
}

auto pickServerEvenly(const std::vector<ServerCandidate> &candidates, std::uint64_t draw)
    -> std::optional<std::size_t>
{
    auto first = std::optional<std::size_t>();
    auto others = std::vector<std::size_t>();
    for (auto index = std::size_t(0); index < candidates.size(); ++index) {
        if (!mayGetRequest(candidates[index]))
            continue;
        if (candidates[index].preferred)
            first = index;
        else
            others.push_back(index);
    }
    if (others.empty())
        return first;
    const auto second = others[draw % others.size()];
    if (!first.has_value() && others.size() > 1) {
        std::erase(others, second);
        first = others[draw / (others.size() + 1) % others.size()];
    }
    if (!first.has_value())
        return second;
    return expectedCost(candidates[second]) < expectedCost(candidates[*first]) ? second : *first;
}

} // namespace nutmegplank::request::forward
