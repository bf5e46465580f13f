#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "base/enumtable.h"

//! Which backend server of a shard a request goes to.
namespace nutmegplank::request::placement {

//! A backend server as placement sees it.
struct Candidate
{
    std::string id;
    bool alive = false;
    bool leaving = false;
    bool zoneOut = false;
    bool held = false;  //!< About to load weights or to change role.
    bool alone = false; //!< Runs a request that must run alone.
    bool cheap = false;
    std::uint32_t running = 0;
    std::uint32_t limit = 0;
    std::uint64_t weightVersion = 0; //!< As last seen from the server itself.
};

//! A request as placement sees it.
struct PlacementRequest
{
    bool idempotent = false;
    bool isolate = false;
    std::uint64_t minWeightVersion = 0;
    std::span<const std::string> avoidServers;
    std::string prefixKey;
};

//! How sure it is, from 0 to 1, that a server has the prompt prefix of the request cached.
using PrefixChance = std::function<double(const std::string &server, const std::string &prefixKey)>;

enum class PlacementPolicy {
    Aware, //!< By load, cached prefixes and kind of server.
    RoundRobin,
    LeastConnections,
};

constexpr auto PLACEMENT_POLICY_NAMES = base::EnumTable<PlacementPolicy, 3> { {
    { PlacementPolicy::Aware, "aware" },
    { PlacementPolicy::RoundRobin, "round_robin" },
    { PlacementPolicy::LeastConnections, "least_connections" },
} };

//! Whether \a server may take \a request at all; the same under each policy.
auto isEligible(const Candidate &server, const PlacementRequest &request) -> bool;

class IPlacement
{
public:
    virtual ~IPlacement() = default;

    //! Index of the chosen server; nothing when none may take the request now.
    virtual auto pick(std::span<const Candidate> servers, const PlacementRequest &request)
        -> std::optional<std::size_t> = 0;
};

auto makePlacement(PlacementPolicy policy, PrefixChance prefixChance)
    -> std::unique_ptr<IPlacement>;

} // namespace nutmegplank::request::placement
