#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/enumtable.h"
#include "base/timepoint.h"
#include "version/routing/credential.h"
#include "version/routing/owner.h"

//! The routing configuration that operators publish: routes, services, workspaces and limits.
namespace nutmegplank::version::routing {

//! How a route handles its requests, and whether a request may run more than once.
enum class RouteKind {
    Idempotent, //!< May run any number of times.
    Unsafe,     //!< Runs at most once per caller request.
    Stream,     //!< Response is a stream of events; runs at most once unless it can be resumed.
    Rollout,    //!< Batches of items that run asynchronously.
};

constexpr auto ROUTE_KIND_NAMES = base::EnumTable<RouteKind, 4> { {
    { RouteKind::Idempotent, "idempotent" },
    { RouteKind::Unsafe, "unsafe" },
    { RouteKind::Stream, "stream" },
    { RouteKind::Rollout, "rollout" },
} };

//! A service that receives a share of a route's requests.
struct ServiceShare
{
    std::string service;
    double weight = 1.0; //!< Relative to the sum of the weights of the route's services.
};

struct Route
{
    std::string name;
    std::string host;
    std::string pathPrefix;
    RouteKind kind = RouteKind::Unsafe;
    std::vector<ServiceShare> services;
    base::Duration timeout = std::chrono::seconds(10);
    base::Duration targetLatency = std::chrono::milliseconds(500);
    std::uint32_t maxAttempts = 1;
    std::uint32_t priority = 5;
    bool open = false;          //!< Callers need no key.
    bool resumable = false;     //!< Streams: callers may take a broken stream up again.
    bool singleVersion = false; //!< Rollouts: all events of a sample come from one weight version.
    //! Rollouts: how long items are kept after submission.
    base::Duration retention = std::chrono::seconds(40);
    //! Rollouts: time from submission until the results are due.
    base::Duration resultDeadline = std::chrono::seconds(8);
};

//! Limits for scaling a service.
struct ScalingLimits
{
    std::uint32_t most = 0; //!< Maximum backend servers per availability zone.
    base::Duration startup = std::chrono::seconds(4); //!< Time until an ordered server is ready.
    std::map<std::string, double> zonePrices;
};

//! Properties of the model engines behind a service.
struct EngineTraits
{
    std::uint32_t slots = 1;
    std::uint64_t cacheTokens = 0;
    std::uint32_t tokensPerEvent = 1;
};

struct Service
{
    std::string name;
    std::uint32_t maxConnections = 64; //!< Per backend server, over all callers.
    base::Duration coldStart { 0 };
    //! Requests per second that a cold backend server can take, over all callers; 0 when servers
    //! of the service are never cold.
    double coldRequestsPerSecond = 0;
    std::optional<EngineTraits> engine;
    std::optional<ScalingLimits> scaling;
};

//! Size and time limits for one caller's connection.
struct CallerLimits
{
    std::uint32_t headerBytes = 16384;
    std::uint64_t bodyBytes = 33554432;
    base::Duration headerTime = std::chrono::seconds(3);
    base::Duration idleTime = std::chrono::seconds(15);
};

struct Workspace
{
    std::string name;
    std::optional<std::uint32_t> priority; //!< Overrides the priority of the route.
};

//! One version of the configuration; immutable once published.
struct RoutingTable
{
    std::uint64_t version = 0;
    std::uint64_t offset = 0; //!< Offset of the record that holds this version.
    std::vector<Route> routes;
    std::map<std::string, Service> services;
    std::unordered_map<std::string, Workspace> workspaces; //!< By SHA-256 of the caller's key.
    //! Whether callers are told apart by keys. Requests need one then, except on open routes.
    bool hasWorkspaces = false;
    CallerLimits limits;

    //! Returns the route on \a host whose prefix is the longest that matches \a path, or null.
    auto findRoute(std::string_view host, std::string_view path) const -> const Route *;
    auto findService(const std::string &name) const -> const Service *;
    //! Returns the workspace that \a key belongs to, or null if the key is unknown.
    auto findWorkspaceByKey(std::string_view key) const -> const Workspace *;
    //! Returns whom a call with \a credential belongs to, on any route, or nullopt if the
    //! credential belongs to nobody.
    auto ownerOf(const Credential &credential) const -> std::optional<Owner>;
};

using RoutingTablePtr = std::shared_ptr<const RoutingTable>;

//! Picks a service of \a route in proportion to the weights; \a draw is uniform in [0, 1).
auto pickService(const Route &route, double draw) -> const std::string &;

} // namespace nutmegplank::version::routing
