#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/timepoint.h"
#include "process/membership/imembership.h"

namespace nutmegplank::request::idempotency {

//! A gateway as the choice of homes sees it.
struct HomeCandidate
{
    std::string id;
    std::string zone;
};

//! Homes of one idempotency key at most.
constexpr auto MOST_HOMES = std::size_t(3);

//! The gateways that hold the records of \a name, primary first: the best by rendezvous, of at
//! least two zones where there are two. A member that leaves only moves others up, so that who is a
//! home among many candidates is one among any of them.
auto homesOf(const std::string &name, const std::vector<HomeCandidate> &candidates)
    -> std::vector<HomeCandidate>;

//! Copies that must stand before a request is dispatched.
auto copiesNeeded(std::size_t homes) -> std::size_t;

//! Homes that must vouch for a record's absence, so that at least one of them would hold a copy
//! even if there were more homes when it was made.
auto vouchersNeeded(std::size_t homes) -> std::size_t;

//! Whether this process can say that a record does not exist. It can for keys whose home it was
//! through the whole memory: it is that old, and would be a home even if all gateways that went
//! away in that time were still there. A younger process can when it saw the log while no service
//! was declared: before that nothing can have run. So a first start of the whole deployment refuses
//! nothing, while a restart of all gateways at once, which loses all records, does until the memory
//! has passed.
class Standing
{
public:
    Standing(HomeCandidate self, base::TimePoint startedAt, base::Duration memory);

    //! The log was read and declared no service yet.
    auto markBornEmpty() -> void { m_bornEmpty = true; }

    //! Takes note of who is there; to be called for each new view.
    auto observe(const process::membership::MemberView &view, base::TimePoint now) -> void;

    auto vouchesFor(const std::string &name, base::TimePoint now) const -> bool;

private:
    struct Seen
    {
        std::string zone;
        base::TimePoint lastLive {};
    };

    HomeCandidate m_self;
    base::TimePoint m_startedAt;
    base::Duration m_memory;
    bool m_bornEmpty = false;
    std::size_t m_liveOthers = 0;
    std::map<std::string, Seen> m_seen; //!< Gateways live now or within the memory.
};

} // namespace nutmegplank::request::idempotency
