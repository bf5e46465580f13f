#pragma once

#include "request/placement/iplacement.h"

namespace nutmegplank::request::placement {

//! Scores servers by load, cached prefix and price. A cached prefix counts only while the load of
//! its server is close to the lowest, so that a popular prefix does not overload one server.
//! Retryable requests go to cheap servers, which may disappear at any time; all others to the rest.
class AwarePlacement : public IPlacement
{
public:
    explicit AwarePlacement(PrefixProbability prefixProbability)
        : m_prefixProbability(std::move(prefixProbability))
    { }

    auto pick(std::span<const Candidate> servers, const PlacementRequest &request)
        -> std::optional<std::size_t> override;

private:
    auto score(const Candidate &server, const PlacementRequest &request, double lowestLoad) const
        -> double;

    PrefixProbability m_prefixProbability;
};

} // namespace nutmegplank::request::placement
