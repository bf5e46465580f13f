#pragma once

#include <string>
#include <unordered_map>

#include "base/timepoint.h"

namespace nutmegplank::request::forward {

//! Latency of backend servers as the answers to this process show it. What was seen loses weight
//! with its age: a server that was slow a second ago counts as any other, or a machine that left it
//! would never learn that it has recovered. All calls with the present time.
class RecentLatency
{
public:
    auto note(const std::string &server, base::Duration latency, base::TimePoint now) -> void;
    //! Expected now; 0 if no server has answered.
    auto expected(const std::string &server, base::TimePoint now) const -> base::Duration;

private:
    struct Seen
    {
        base::Duration latency { 0 };
        base::TimePoint at {};
    };

    std::unordered_map<std::string, Seen> m_seen; //!< By server id.
    base::Duration m_usual { 0 };                 //!< Of all servers, over many answers.
};

} // namespace nutmegplank::request::forward
