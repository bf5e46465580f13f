#pragma once

#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "base/timepoint.h"

namespace nutmegplank::request::execution {

//! Demand for one service over some time.
struct ServiceDemand
{
    std::string service;
    std::uint64_t arrivals = 0;
    std::uint32_t waiting = 0; //!< Requests that no backend server has taken yet.
    base::Duration wait {};    //!< Mean time until a backend server took a request.
};

//! Counts arrivals and waits by service, for whoever plans capacity. Safe from any thread.
class DemandMeter
{
public:
    auto recordArrival(const std::string &service) -> void;
    //! A backend server took a request after \a wait, or the request ended before.
    auto recordStart(const std::string &service, base::Duration wait) -> void;

    //! What was counted since the last call.
    auto collect() -> std::vector<ServiceDemand>;

private:
    struct Counts
    {
        std::uint64_t arrivals = 0;
        std::uint32_t waiting = 0;
        std::uint64_t starts = 0;
        base::Duration wait {};
    };

    std::mutex m_mutex;
    std::map<std::string, Counts> m_counts;
};

} // namespace nutmegplank::request::execution
