#pragma once

#include <map>
#include <mutex>
#include <string>

#include "base/timepoint.h"
#include "connection/link/link.pb.h"

//! Load as dispatchers and gateways report it; soft state that expires.
namespace nutmegplank::process::reports {

//! One backend server as its dispatcher last saw it.
struct ServerLoad
{
    std::string service;
    std::string dispatcherLink; //!< Link of the dispatcher that reported.
    bool cold = false;
    bool alive = true;
    std::uint32_t running = 0;
    std::uint32_t limit = 0;
    std::uint64_t weightVersion = 0; //!< 0 when not known.
    base::TimePoint heard {};
};

//! One service, summed over all reports.
struct ServiceLoad
{
    double queued = 0;   //!< Requests in dispatchers' queues.
    double running = 0;  //!< Requests on backend servers.
    double capacity = 0; //!< Requests that all its backend servers bear together.
    double waiting = 0;  //!< Requests that gateways hold back.
    double waitMs = 0;   //!< Longest mean wait of a gateway.
    double arrivalsPerSecond = 0;
    std::uint32_t openSteps = 0;
};

using ServerLoads = std::map<std::string, ServerLoad>;   //!< By server id.
using ServiceLoads = std::map<std::string, ServiceLoad>; //!< By service.

//! Keeps the newest report of each sender; safe for several threads.
class LoadReports
{
public:
    //! Takes a ShardReport or a DemandReport over; other messages are ignored.
    auto take(const wire::Envelope &message, base::TimePoint now) -> void;
    //! Servers reported within the report's life before \a now.
    auto servers(base::TimePoint now) const -> ServerLoads;
    auto services(base::TimePoint now) const -> ServiceLoads;

private:
    struct Shard
    {
        wire::ShardReport report;
        std::string link;
        base::TimePoint heard {};
    };
    struct Demand
    {
        wire::DemandReport report;
        base::TimePoint heard {};
    };

    mutable std::mutex m_mutex;
    std::map<std::string, Shard> m_shards;
    std::map<std::string, Demand> m_demands; //!< By sender and service.
};

} // namespace nutmegplank::process::reports
