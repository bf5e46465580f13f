#pragma once

#include "request/placement/iplacement.h"

namespace nutmegplank::request::placement {

//! Scores servers by load, cached prefix and price. A cached prefix counts only while the load of
//! its server is close to the lowest, so that a popular prefix does not overload one server.
//! Retryable requests go to cheap servers, which may disappear at any time; all others to the rest.
class AwarePlacement : public IPlacement
{
public:
    explicit AwarePlacement(PrefixChance prefixChance)
        : m_prefixChance(std::move(prefixChance))
    { }

    auto pick(std::span<const Candidate> servers, const PlacementRequest &request)
        -> std::optional<std::size_t> override;

private:
    auto score(const Candidate &server, const PlacementRequest &request, double lowestLoad) const
        -> double;

    PrefixChance m_prefixChance;
};

} // namespace nutmegplank::request::placement
