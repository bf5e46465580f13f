#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "base/enumtable.h"

//! Selection of the backend server of a shard for a request.
namespace nutmegplank::request::placement {

//! Properties of a backend server that placement depends on.
struct Candidate
{
    std::string id;
    bool alive = false;
    bool leaving = false;  //!< Being removed or gone.
    bool zoneOut = false;  //!< Its availability zone is out of service.
    bool held = false;     //!< About to load weights or to change role.
    bool isolated = false; //!< Runs, or is kept free for, a request that must run alone.
    bool cheap = false;    //!< Costs less, but may disappear at any time.
    std::uint32_t running = 0;
    std::uint32_t limit = 0;
    std::uint64_t weightVersion = 0; //!< As last reported by the server itself.
};

//! Properties of a request that placement depends on.
struct PlacementRequest
{
    bool idempotent = false;
    bool isolate = false; //!< Must run alone on its server.
    std::uint64_t minWeightVersion = 0;
    std::span<const std::string> avoidServers; //!< Ids of servers that must not be picked.
    std::string prefixKey;
};

//! Estimated probability, from 0 to 1, that a server has the prompt prefix of the request cached.
using PrefixProbability =
    std::function<double(const std::string &server, const std::string &prefixKey)>;

enum class PlacementPolicy {
    Aware, //!< By load, cached prefixes and price of the server.
    RoundRobin,
    LeastConnections,
};

constexpr auto PLACEMENT_POLICY_NAMES = base::EnumTable<PlacementPolicy, 3> { {
    { PlacementPolicy::Aware, "aware" },
    { PlacementPolicy::RoundRobin, "round_robin" },
    { PlacementPolicy::LeastConnections, "least_connections" },
} };

//! Whether \a server may be given \a request; does not depend on the policy.
auto isEligible(const Candidate &server, const PlacementRequest &request) -> bool;

class IPlacement
{
public:
    virtual ~IPlacement() = default;

    //! Index of the chosen server, or nothing when no server may be given the request now.
    virtual auto pick(std::span<const Candidate> servers, const PlacementRequest &request)
        -> std::optional<std::size_t> = 0;
};

auto makePlacement(PlacementPolicy policy, PrefixProbability prefixProbability)
    -> std::unique_ptr<IPlacement>;

} // namespace nutmegplank::request::placement
