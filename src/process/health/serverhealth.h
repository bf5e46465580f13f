#pragma once

#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/timepoint.h"
#include "process/health/refusedsizes.h"
#include "process/requestlimits/requestlimits.h"

//! Backend servers as requests find them; what a server says of itself stands in the server table.
namespace nutmegplank::process::health {

struct HealthTimes
{
    //! First pause after a lost connection; doubles with each further one.
    base::Duration firstPause = std::chrono::milliseconds(300);
    base::Duration longestPause = std::chrono::seconds(3);
    //! After "full": about the time in which one place becomes free.
    base::Duration fullPause = std::chrono::milliseconds(60);
    //! After an answer that another server has the address now.
    base::Duration wrongServerPause = std::chrono::seconds(2);
};

//! What a cold server bears, as seen by this process.
struct ColdRule
{
    double perSecond = 0; //!< This process's share; 0 when servers of the service are never cold.
    base::Duration coldStart { 0 };
};

//! Not safe for several threads.
class ServerHealth
{
public:
    explicit ServerHealth(HealthTimes times = {})
        : m_times(times)
    { }

    //! How many requests the server may get now. \a coldUntil: by its own word.
    auto startsLeft(const std::string &server, base::TimePoint coldUntil, const ColdRule &rule,
                    base::TimePoint now) const -> std::uint32_t;
    //! Whether this process holds the server for unreachable.
    auto paused(const std::string &server, base::TimePoint now) const -> bool;
    //! When the server last refused a connection or did not answer to it; the epoch of the clock if
    //! never. Its process may have ended then, unlike when it broke off a response.
    auto unreachableAt(const std::string &server) const -> base::TimePoint;
    auto noteStart(const std::string &server, base::TimePoint now) -> void;
    auto noteAnswer(const std::string &server) -> void;
    auto noteFull(const std::string &server, base::TimePoint now) -> void;
    //! The server began to run a request of \a size.
    auto noteTaken(const std::string &server, const RequestSize &size) -> void;
    //! The server refused a request that was sent at \a sentAt: it is full, or the request is too
    //! large for it, which does not count against others.
    auto noteRefused(const std::string &server, const RequestSize &size, base::TimePoint sentAt,
                     base::TimePoint now) -> void;
    //! Sizes for which the server refuses requests now; see RefusedSizes.
    auto refusedSizes(const std::string &server, base::TimePoint now) const
        -> std::vector<RequestSize>;
    //! Whether the server has not refused a request of \a size a moment ago.
    auto mayTake(const std::string &server, const RequestSize &size, base::TimePoint now) const
        -> bool;
    auto noteWrongServer(const std::string &server, base::TimePoint now) -> void;
    //! No connection could be made; includes noteLost().
    auto noteUnreachable(const std::string &server, const ColdRule &rule, base::TimePoint now)
        -> void;
    //! Refused, reset or silent: it may have restarted, and is cold then.
    auto noteLost(const std::string &server, const ColdRule &rule, base::TimePoint now) -> void;
    auto forget(const std::string &server) -> void;
    //! Another process has the server's id now, perhaps with another memory.
    auto forgetSizes(const std::string &server) -> void { m_refusedSizes.forget(server); }
    //! Request limits that the servers have named.
    auto limits() -> requestlimits::RequestLimits & { return m_limits; }
    auto limits() const -> const requestlimits::RequestLimits & { return m_limits; }

private:
    struct Entry
    {
        std::uint32_t losses = 0; //!< In a row.
        base::TimePoint unreachableAt {};
        base::TimePoint pausedUntil {};
        base::TimePoint fullUntil {};
        base::TimePoint coldUntil {};
        std::deque<base::TimePoint> starts; //!< Of the last second.
    };

    HealthTimes m_times;
    requestlimits::RequestLimits m_limits;
    RefusedSizes m_refusedSizes;
    std::unordered_map<std::string, Entry> m_entries;
};

} // namespace nutmegplank::process::health
