#include "fairness.h"

#include <algorithm>
#include <numeric>

namespace nutmegplank::app::bench {

namespace {

constexpr auto NOTHING_LEFT = 1e-9;

} // namespace

auto dueAmounts(const std::vector<WorkspaceService> &services) -> std::vector<double>
{
    const auto addServed = [](double sum, const WorkspaceService &one) { return sum + one.served; };
    auto left = std::accumulate(services.begin(), services.end(), 0.0, addServed);
    auto due = std::vector<double>(services.size(), 0);
    while (left > NOTHING_LEFT) {
        auto weights = 0.0;
        for (auto index = std::size_t(0); index < services.size(); ++index)
            weights += due[index] < services[index].demand ? services[index].weight : 0;
        if (weights <= 0)
            break;
        auto given = 0.0;
        for (auto index = std::size_t(0); index < services.size(); ++index) {
            const auto room = std::max(0.0, services[index].demand - due[index]);
            const auto part = std::min(room, left * services[index].weight / weights);
            due[index] += part;
            given += part;
        }
        left -= given;
        if (given <= NOTHING_LEFT)
            break;
    }
    return due;
}

auto worstServed(const std::vector<WorkspaceService> &services) -> WorstServed
{
    const auto due = dueAmounts(services);
    auto worst = WorstServed {};
    for (auto index = std::size_t(0); index < services.size(); ++index) {
        const auto whenNothingRan = services[index].demand > 0 ? 0.0 : 1.0;
        const auto share = due[index] > 0 ? services[index].served / due[index] : whenNothingRan;
        if (share < worst.share)
            worst = WorstServed { services[index].workspace, share };
    }
    return worst;
}

} // namespace nutmegplank::app::bench
