#pragma once

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "base/timepoint.h"

namespace nutmegplank::request::execution {

//! Demand for one service since the previous collection.
struct ServiceDemand
{
    std::string service;
    std::uint64_t arrivals = 0;
    std::uint32_t waiting = 0;  //!< Requests that no backend server has started yet.
    base::Duration meanWait {}; //!< Mean time until a request was started or ended unstarted.
};

//! Counts arrivals and queueing times by service for capacity planning. Thread-safe.
class DemandMeter
{
public:
    auto recordArrival(const std::string &service) -> void;
    //! Records that a backend server started a request after \a waitTime, or that the request ended
    //! before any server started it.
    auto recordStart(const std::string &service, base::Duration waitTime) -> void;

    //! Returns the counts since the previous call and resets them, except for waiting requests.
    auto collect() -> std::vector<ServiceDemand>;

private:
    struct Counts
    {
        std::uint64_t arrivals = 0;
        std::uint32_t waiting = 0;
        std::uint64_t starts = 0;
        base::Duration totalWait {};
    };

    std::mutex m_mutex;
    std::map<std::string, Counts> m_counts;
};

} // namespace nutmegplank::request::execution
