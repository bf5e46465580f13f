#pragma once

#include "request/placement/iplacement.h"

namespace nutmegplank::request::placement {

//! Weighs load against a cached prefix and the kind of server. A cached prefix attracts only while
//! its server's load stays near the lowest one, so that a popular prefix makes no hot spot. Work
//! that can be repeated goes to cheap servers, which may vanish; all else to the others.
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
