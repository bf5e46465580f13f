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

//! How many backend servers each availability zone should have.
namespace nutmegplank::version::plan {

enum class Spending {
    Adaptive, //!< Between the preset's servers and mostServers, by measured waiting.
    Static,   //!< Always the preset's servers.
};

constexpr auto SPENDING_NAMES = base::EnumTable<Spending, 2> { {
    { Spending::Adaptive, "adaptive" },
    { Spending::Static, "static" },
} };

//! Which services get enough servers that one zone may go without loss of the preset's number.
enum class ZoneRoom {
    None,
    Plain, //!< Plain services only: their calls cannot wait for new servers.
    All,
};

constexpr auto ZONE_ROOM_NAMES = base::EnumTable<ZoneRoom, 3> { {
    { ZoneRoom::None, "none" },
    { ZoneRoom::Plain, "plain" },
    { ZoneRoom::All, "all" },
} };

struct PlanPolicy
{
    Spending spending = Spending::Adaptive;
    ZoneRoom zoneRoom = ZoneRoom::Plain;
    double growQueue = 1.0;   //!< Waiting requests a server above which a service grows.
    double growWaitMs = 1000; //!< Wait above which it grows.
    double growStep = 0.25;   //!< Share by which it grows at a time.
    double calmShare = 0.5;   //!< Below this share of its capacity a service shrinks.
    base::Duration growAfter = std::chrono::seconds(2);     //!< Pressure must last this long.
    base::Duration growEvery = std::chrono::seconds(5);     //!< Between two steps up.
    base::Duration releaseAfter = std::chrono::seconds(60); //!< Calm must last this long.
    base::Duration releaseEvery = std::chrono::seconds(15); //!< Between two steps down.
};

struct PlanInput
{
    configuration::ConfigurationPtr configuration;
    process::inventory::ServerViewPtr servers;
    process::reports::ServiceLoads loads;
    std::set<std::string> lostZones; //!< They keep their targets, and the others bear their share.
    state::PlanState last;           //!< What stands in the log.
    base::TimePoint now {};
};

//! Turns preset, demand, lost zones and spending into targets. Pure, but for the memory that
//! hysteresis needs; a new holder starts from the plan in the log.
class Planner
{
public:
    explicit Planner(PlanPolicy policy);

    //! All targets of the services that the preset in force names, by service and zone; nullopt
    //! when no preset is in force.
    auto plan(const PlanInput &input) -> std::optional<std::vector<state::PlanTarget>>;

private:
    //! Size of one service, and since when it is under pressure or calm.
    struct Size
    {
        std::uint32_t servers = 0;
        std::optional<base::TimePoint> pressedSince;
        std::optional<base::TimePoint> calmSince;
        std::optional<base::TimePoint> changed;
    };

    auto sizeOf(const PlanInput &input, const configuration::ServiceTarget &target,
                std::uint32_t first) -> std::uint32_t;
    auto adapt(const PlanInput &input, const configuration::ServiceTarget &target, Size &size) const
        -> void;

    PlanPolicy m_policy;
    std::map<std::string, Size> m_sizes; //!< By service.
};

//! Zones that count: declared ones, and those in which there are servers.
auto knownZones(const configuration::Configuration &configuration,
                const process::inventory::ServerView &servers) -> std::set<std::string>;

} // namespace nutmegplank::version::plan
