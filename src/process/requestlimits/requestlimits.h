#pragma once

#include <optional>
#include <string>
#include <unordered_map>

#include "base/timepoint.h"

//! Request limits that backend servers name in their responses.
namespace nutmegplank::process::requestlimits {

//! Requests per second that each backend server takes from all machines together. Not thread-safe.
class RequestLimits
{
public:
    //! A response of \a server to a request sent at \a sentAt. \a perSecond is the limit that it
    //! names, or nothing if the response names none.
    auto noteResponse(const std::string &server, std::optional<double> perSecond,
                      base::TimePoint sentAt, base::TimePoint now) -> void;

private:
    struct Observation
    {
        std::optional<double> perSecond;
        base::TimePoint at {};
    };

    std::unordered_map<std::string, Observation> m_observations; //!< By server id.
};

} // namespace nutmegplank::process::requestlimits
