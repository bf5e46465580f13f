#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/timepoint.h"

//! What operators declare, as one immutable value a version.
namespace nutmegplank::version::configuration {

//! A customer's share of the service.
struct Workspace
{
    std::string name;
    std::uint32_t weight =
        1; //!< Its due is weight / sum of the weights of all workspaces with work.
};

//! A caller's key. The key itself is never kept.
struct Key
{
    std::string id;
    std::string workspace;
    std::string sha256; //!< Lower-case hexadecimal hash of the key.
    bool withdrawn = false;
};

//! What kind of backend server stands behind a service.
enum class ServiceKind {
    Engine, //!< Model engine: streams tokens, loads weights.
    Plain,  //!< Plain service: answers requests.
};

//! A group of backend servers that callers see as one.
struct Service
{
    std::string name;
    ServiceKind kind = ServiceKind::Plain;
    std::uint32_t shards = 1;    //!< At most 16 backend servers should fall on one.
    std::uint32_t coldLimit = 1; //!< Concurrent requests that a server in cold start bears.
    std::uint32_t warmLimit = 8; //!< Concurrent requests at most of a warm server.
    base::Duration warmUp = std::chrono::seconds(5); //!< Shortest time from cold to full load.
    base::Duration requestTime = std::chrono::seconds(30); //!< Deadline when the caller names none.
};

//! Which requests go to which service.
struct Route
{
    std::string name;
    std::string pathPrefix; //!< The longest matching prefix wins.
    std::string service;
    bool open = false;     //!< Needs no key; runs for \a workspace.
    std::string workspace; //!< For open routes only.
    bool idempotent =
        false; //!< All its requests may be repeated; otherwise GET, HEAD, PUT, DELETE may.
};

//! An availability zone as operators see it.
struct Zone
{
    std::string name;
    std::string region;
    bool out = false;
};

//! How many backend servers of a service a preset asks for.
struct ServiceTarget
{
    std::string service;
    std::uint32_t servers = 0;     //!< At ordinary load, over all zones.
    std::uint32_t mostServers = 0; //!< When queues grow.
    double cheapShare = 0;         //!< Largest share of cheap backend servers.
    std::string model;             //!< Engines only: what they serve.
    std::vector<std::string> adapters;
};

//! A way of running the whole; one is in force.
struct Preset
{
    std::string name;
    std::vector<ServiceTarget> targets;
    std::uint32_t rolloutShare = 100; //!< Percent of engine capacity that bulk rollouts may take.
    bool refuseRollouts = false;      //!< For maintenance.
};

//! Everything that is in force at one version.
struct Configuration
{
    std::uint64_t version = 0; //!< Offset of the log record that made it; only goes up.
    std::map<std::string, Workspace> workspaces;
    std::map<std::string, Key> keys; //!< By id.
    std::map<std::string, Key> keysByHash;
    std::map<std::string, Service> services;
    std::map<std::string, Route> routes;
    std::map<std::string, Zone> zones;
    std::map<std::string, Preset> presets;
    std::string presetInForce;

    //! The preset in force; null when none is.
    auto preset() const -> const Preset *
    {
        const auto found = presets.find(presetInForce);
        return found == presets.end() ? nullptr : &found->second;
    }
    //! Whether operators took the zone out. Zones that nobody declared are in.
    auto isZoneOut(const std::string &zone) const -> bool
    {
        const auto found = zones.find(zone);
        return found != zones.end() && found->second.out;
    }
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

} // namespace nutmegplank::version::configuration
