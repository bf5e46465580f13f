#pragma once

#include "request/placement/iplacement.h"

namespace nutmegplank::request::placement {

//! Baseline for comparison: the next eligible server in turn.
class RoundRobin : public IPlacement
{
public:
    auto pick(std::span<const Candidate> servers, const PlacementRequest &request)
        -> std::optional<std::size_t> override
    {
        for (auto step = std::size_t(0); step < servers.size(); ++step) {
            const auto index = (m_next + step) % servers.size();
            if (!isEligible(servers[index], request))
                continue;
            m_next = index + 1;
            return index;
        }
        return std::nullopt;
    }

private:
    std::size_t m_next = 0;
};

} // namespace nutmegplank::request::placement
