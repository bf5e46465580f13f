#pragma once

#include <map>
#include <string>
#include <vector>

#include "version/streamorigin/streamorigin.h"

namespace nutmegplank::version::streamorigin {

//! Software versions of all servers of a service, leaving ones included; one entry a server, empty
//! if not known.
using VersionsByService = std::map<std::string, std::vector<std::string>>;

//! Watches which software versions are in service and decides the baseline of each service. A
//! baseline whose version has left is closed first. It is replaced when it has been closed for so
//! long that no caller can take up a stream without a record any more. Not thread-safe.
class BaselinePlanner
{
public:
    explicit BaselinePlanner(base::TimePoint now)
        : m_startedAt(now)
    { }

    //! \a baselines: as in the log now.
    auto observe(const VersionsByService &versions, const BaselinesByService &baselines,
                 base::TimePoint now) -> void;
    //! A server of \a service with \a software came into service or left it.
    auto observeServer(const std::string &service, const std::string &software,
                       const BaselinesByService &baselines, base::TimePoint now) -> void;
    //! Servers may have come and gone unseen until now, because history was lost.
    auto noteGap(base::TimePoint now) -> void;
    //! Baselines to write now.
    auto plan(const VersionsByService &versions, const BaselinesByService &baselines,
              base::TimePoint now) const -> BaselinesByService;
    //! Whether all servers of the service that were seen within TAKE_UP_TIME had its baseline.
    auto onlyBaseline(const std::string &service, base::TimePoint now) const -> bool;

private:
    struct Seen
    {
        base::TimePoint baselineAt {}; //!< A server of the baseline's version was in service.
        base::TimePoint otherAt {};    //!< A server of another version was in service.
        base::TimePoint openAt {};     //!< The baseline was not closing.
    };

    auto seenOf(const std::string &service) -> Seen &;

    base::TimePoint m_startedAt;        //!< All servers have been seen since.
    std::map<std::string, Seen> m_seen; //!< By service.
};

} // namespace nutmegplank::version::streamorigin
