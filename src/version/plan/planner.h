#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/enumtable.h"
#include "base/timepoint.h"
#include "process/inventory/iinventory.h"
#include "process/reports/loadreports.h"
#include "version/state/iplatformlog.h"

//! Planning of how many backend servers each availability zone should have.
namespace nutmegplank::version::plan {

//! Whether the number of servers of a service follows its load.
enum class ScalingMode {
    Adaptive, //!< Between the preset's servers and mostServers, by measured load.
    Static,   //!< Always the preset's servers.
};

constexpr auto SCALING_MODE_NAMES = base::EnumTable<ScalingMode, 2> { {
    { ScalingMode::Adaptive, "adaptive" },
    { ScalingMode::Static, "static" },
} };

//! Which services get enough extra servers to keep the preset's number when one zone fails.
enum class ZoneHeadroom {
    None,
    Plain, //!< Plain services only: their calls cannot wait until new servers are up.
    All,
};

constexpr auto ZONE_HEADROOM_NAMES = base::EnumTable<ZoneHeadroom, 3> { {
    { ZoneHeadroom::None, "none" },
    { ZoneHeadroom::Plain, "plain" },
    { ZoneHeadroom::All, "all" },
} };

struct PlanPolicy
{
    ScalingMode scalingMode = ScalingMode::Adaptive;
    ZoneHeadroom zoneHeadroom = ZoneHeadroom::Plain;
    //! A service grows above this many waiting requests per live server.
    double growQueuePerServer = 1.0;
    //! A service with waiting requests grows above this waiting time.
    double growWaitMs = 1000;
    //! Fraction of its servers that one growth step adds; at least one.
    double growFraction = 0.25;
    //! A service without waiting requests shrinks when less than this fraction of its capacity is
    //! in use.
    double shrinkUtilization = 0.5;
    //! Overload must last this long.
    base::Duration growDelay = std::chrono::seconds(2);
    //! From any change to a growth step.
    base::Duration growInterval = std::chrono::seconds(5);
    //! Low load must last this long.
    base::Duration shrinkDelay = std::chrono::seconds(60);
    //! From any change to a shrink step.
    base::Duration shrinkInterval = std::chrono::seconds(15);
};

struct PlanInput
{
    configuration::ConfigurationPtr configuration;
    process::inventory::ServerViewPtr servers;
    process::reports::ServiceLoads loads;
    //! They keep their logged targets; the servers they should provide are planned in the other
    //! zones.
    std::set<std::string> lostZones;
    state::PlanState loggedPlan; //!< Latest plan in the log.
    base::TimePoint now {};
};

//! Computes the server targets from the preset, the load, the lost zones and the policy. Performs
//! no I/O; keeps only the state that hysteresis needs. A new lease holder starts from the plan in
//! the log.
class Planner
{
public:
    explicit Planner(PlanPolicy policy);

    //! Targets of all services in the active preset, sorted by service and zone; nullopt if no
    //! preset is active.
    auto plan(const PlanInput &input) -> std::optional<std::vector<state::PlanTarget>>;

private:
    //! Planned size of one service, and since when it has been overloaded or underused.
    struct ServiceSize
    {
        std::uint32_t servers = 0;
        std::optional<base::TimePoint> overloadedSince;
        std::optional<base::TimePoint> underusedSince;
        std::optional<base::TimePoint> lastChange;
    };

    //! Number of servers of the service before zone headroom; \a initialServers is the size at its
    //! first call.
    auto updateSize(const PlanInput &input, const configuration::ServiceTarget &target,
                    std::uint32_t initialServers) -> std::uint32_t;
    auto adaptToLoad(const PlanInput &input, const configuration::ServiceTarget &target,
                     ServiceSize &size) const -> void;

    PlanPolicy m_policy;
    std::map<std::string, ServiceSize> m_sizes; //!< By service.
};

//! Zones that are declared in the configuration or have servers in the inventory.
auto knownZones(const configuration::Configuration &configuration,
                const process::inventory::ServerView &servers) -> std::set<std::string>;

} // namespace nutmegplank::version::plan
