#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/timepoint.h"
#include "process/requestlimits/limitreport.h"

//! Request limits that backend servers name in their responses.
namespace nutmegplank::process::requestlimits {

//! Keeps this machine's part of the requests per second that each limited server takes from all
//! machines together. Machines tell each other what they observed and what they send; each computes
//! its own share from that. Not thread-safe.
class RequestLimits
{
public:
    auto setMachine(std::string machine) -> void { m_machine = std::move(machine); }
    //! Whether update() is due.
    auto needsUpdate(base::TimePoint now) const -> bool;
    //! Computes this machine's shares anew and drops what is not needed any more. \a machines are
    //! those that serve now; this one need not be among them.
    auto update(std::vector<std::string> machines, base::TimePoint now) -> void;

    //! A response of \a server to a request sent at \a sentAt. \a perSecond is the limit that it
    //! names, or nothing if the response names none.
    auto noteResponse(const std::string &server, std::optional<double> perSecond,
                      base::TimePoint sentAt, base::TimePoint now) -> void;
    //! A request was sent; counts whether or not startsLeft() allowed it.
    auto noteSent(const std::string &server, base::TimePoint now) -> void;
    //! A request would have been sent, had the limit allowed it.
    auto noteHeldBack(const std::string &server, base::TimePoint now) -> void;
    //! The server was restarted or removed; its limit does not hold any more.
    auto forget(const std::string &server, base::TimePoint now) -> void;

    //! Number of requests that this machine may send to the server now.
    auto startsLeft(const std::string &server, base::TimePoint now) const -> std::uint32_t;
    //! Whether a call may be sent that is due whatever else is waiting, e.g. a weight order. It may
    //! use a request that is not there yet, so that a queue of other requests cannot delay it.
    auto mayCall(const std::string &server, base::TimePoint now) const -> bool;
    //! Time until startsLeft() is above 0, if nothing is sent meanwhile.
    auto untilNextStart(const std::string &server, base::TimePoint now) const -> base::Duration;

    //! What to tell the other machines now.
    auto takeReports(base::TimePoint now) -> std::vector<LimitReport>;
    //! Replaces what \a machine told. Reports of this machine itself are from before its restart:
    //! their observations are passed on as its own.
    auto setReports(const std::string &machine, const std::vector<LimitReport> &reports,
                    base::TimePoint now) -> void;

private:
    struct Entry
    {
        std::string name; //!< Id of the server; empty until this machine deals with it.
        std::optional<LimitObservation> known; //!< The newest of all machines.
        std::optional<LimitObservation> own;   //!< This machine's, while it is the newest.
        double rate = 0;                       //!< Requests per second of this machine.
        double burst = 0;                      //!< Most requests that it may send at once.
        double allowance = 0;                  //!< Requests that it might send at countedAt.
        base::TimePoint countedAt {};
        std::deque<base::TimePoint> sent;
        base::TimePoint usedAt {}; //!< When a request was last sent or held back.
        double publishedDemand = 0;
        base::TimePoint forgottenAt {}; //!< Older observations are of a former process.
    };

    using ReportsByServer = std::unordered_map<std::uint64_t, LimitReport>;

    auto findLimited(const std::string &server) const -> const Entry *;
    auto observe(Entry &entry, const LimitObservation &observation, base::TimePoint now) -> void;
    auto updateShare(std::uint64_t key, Entry &entry, base::TimePoint now) -> void;
    auto expire(base::TimePoint now) -> void;
    static auto allowanceAt(const Entry &entry, base::TimePoint now) -> double;
    static auto demandOf(Entry &entry, base::TimePoint now) -> double;

    std::string m_machine;
    std::vector<std::string> m_machines;
    base::TimePoint m_updatedAt {};
    std::unordered_map<std::uint64_t, Entry> m_entries;      //!< By hash of the server's id.
    std::unordered_map<std::string, ReportsByServer> m_told; //!< By machine.
};

} // namespace nutmegplank::process::requestlimits
