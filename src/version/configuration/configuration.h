#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/timepoint.h"

//! The configuration that operators declare; each version is one immutable value.
namespace nutmegplank::version::configuration {

//! A customer and its share of the capacity.
struct Workspace
{
    std::string name;
    //! Its fair share is weight / sum of the weights of all workspaces with pending work.
    std::uint32_t weight = 1;
};

//! A caller's key. Only its hash is stored, never the key itself.
struct Key
{
    std::string id;
    std::string workspace;
    std::string sha256;     //!< Lower-case hexadecimal hash of the key.
    bool withdrawn = false; //!< Revoked: requests with this key are refused.
};

//! The kind of backend servers of a service.
enum class ServiceKind {
    Engine, //!< Model engine: streams tokens and loads weights.
    Plain,  //!< Plain service: answers requests.
};

//! A group of backend servers that callers see as one.
struct Service
{
    std::string name;
    ServiceKind kind = ServiceKind::Plain;
    std::uint32_t shards = 1;    //!< Use enough that a shard has at most 16 backend servers.
    std::uint32_t coldLimit = 1; //!< Maximum concurrent requests to a server in cold start.
    std::uint32_t warmLimit = 8; //!< Maximum concurrent requests to a warm server.
    base::Duration warmUp = std::chrono::seconds(5); //!< Minimum time from cold start to full load.
    base::Duration requestTimeout =
        std::chrono::seconds(30); //!< Deadline when the caller sets none.
};

//! Maps requests by path prefix to a service.
struct Route
{
    std::string name;
    std::string pathPrefix; //!< The longest matching prefix wins.
    std::string service;
    bool open = false;     //!< Callers need no key; requests without one run for \a workspace.
    std::string workspace; //!< For open routes only.
    //! All requests may be repeated; otherwise only GET, HEAD, PUT and DELETE.
    bool idempotent = false;
};

//! An availability zone as operators declare it.
struct Zone
{
    std::string name;
    std::string region;
    bool out = false; //!< Taken out of use: gets no new work and its backend servers are replaced.
};

//! The backend servers that a preset requests for a service.
struct ServiceTarget
{
    std::string service;
    std::uint32_t servers = 0;     //!< At normal load, over all zones.
    std::uint32_t mostServers = 0; //!< Upper bound when queues grow.
    double cheapShare = 0;         //!< Maximum share of reclaimable backend servers, 0 to 1.
    std::string model;             //!< Engines only: the model to serve.
    std::vector<std::string> adapters;
};

//! An operating mode of the platform; one is in force at a time.
struct Preset
{
    std::string name;
    std::vector<ServiceTarget> targets;
    std::uint32_t rolloutShare = 100; //!< Maximum percentage of engine capacity for bulk rollouts.
    bool refuseRollouts = false;      //!< Used during maintenance.
};

//! The complete configuration at one version.
struct Configuration
{
    std::uint64_t version = 0; //!< Offset of the log record that created it; only increases.
    std::map<std::string, Workspace> workspaces;
    std::map<std::string, Key> keys; //!< By id.
    std::map<std::string, Key> keysByHash;
    std::map<std::string, Service> services;
    std::map<std::string, Route> routes;
    std::map<std::string, Zone> zones;
    std::map<std::string, Preset> presets;
    std::string presetInForce;

    //! Returns the preset in force, or null when there is none.
    auto preset() const -> const Preset *
    {
        const auto found = presets.find(presetInForce);
        return found == presets.end() ? nullptr : &found->second;
    }
    //! Whether operators took the zone out of use. Undeclared zones are in use.
    auto isZoneOut(const std::string &zone) const -> bool
    {
        const auto found = zones.find(zone);
        return found != zones.end() && found->second.out;
    }
};

using ConfigurationPtr = std::shared_ptr<const Configuration>;

} // namespace nutmegplank::version::configuration
