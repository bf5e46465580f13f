#pragma once

#include <functional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "process/clock/truetime.h"
#include "process/members/memberlist.h"
#include "process/requestlimits/requestlimits.h"
#include "process/settings/machinesettings.h"
#include "request/forward/poisonrequestdetector.h"
#include "version/journal/follower.h"

namespace nutmegplank::app::node {

//! Tells the other machines that this one lives, and knows which of them do.
class Membership
{
public:
    Membership(boost::asio::io_context &context, version::journal::IJournal &journal,
               const process::settings::MachineSettings &settings, std::string incarnation,
               process::clock::TrueTime &trueTime,
               request::forward::PoisonRequestDetector &suspects,
               process::requestlimits::RequestLimits &limits);

    auto start() -> void;
    //! Whether callers may be sent here; told to the others at once when it changes.
    auto setServing(bool serving) -> void;
    //! Sends a heartbeat now and not when it is due.
    auto announce() -> void { m_timer.cancel(); }
    //! Addresses that callers may use now, at most \a most, those in \a zone first.
    auto addresses(const std::string &zone, std::size_t most, base::TimePoint now) const
        -> std::vector<std::string>;
    //! Callers' endpoints of the other machines.
    auto peers(base::TimePoint now) const -> std::vector<std::string>;
    auto memberCount(base::TimePoint now) const -> std::size_t;
    //! Names of the machines that are thought to live and serve.
    auto memberNames(base::TimePoint now) const -> std::vector<std::string>;

private:
    auto heartbeatLoop() -> boost::asio::awaitable<void>;
    auto hear(const version::journal::KeyedRecord &record, base::TimePoint now) -> void;
    auto hearSuspicions(const record::MemberRecord &record, base::TimePoint now) -> void;
    auto hearLimits(const record::MemberRecord &record, base::TimePoint now) -> void;
    auto waitForSnapshot() -> boost::asio::awaitable<void>;
    auto encodeHeartbeat(base::TimePoint now) -> std::string;
    auto noteHeartbeat(const version::journal::AppendResult &result, std::size_t bytes) -> void;
    auto living(base::TimePoint now) const -> std::vector<process::members::Member>;

    boost::asio::io_context &m_context;
    version::journal::IJournal &m_journal;
    const process::settings::MachineSettings &m_settings;
    std::string m_incarnation;
    process::clock::TrueTime &m_trueTime;
    request::forward::PoisonRequestDetector &m_suspects;
    process::requestlimits::RequestLimits &m_limits;
    process::members::MemberTimes m_times;
    process::members::MemberList m_members;
    version::journal::KeyedFollower m_follower;
    boost::asio::steady_timer m_timer;
    bool m_bareHeartbeat = false; //!< The next heartbeat tells nothing of others.
    bool m_serving = false;
};

} // namespace nutmegplank::app::node
