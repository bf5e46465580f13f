#pragma once

#include <map>
#include <string>
#include <vector>

#include "process/health/serverhealth.h"
#include "process/servers/servertable.h"
#include "request/rollout/enginestates.h"
#include "request/rollout/itemrun.h"
#include "request/rollout/placement.h"

namespace nutmegplank::request::rollout {

//! Tracks how many items this process runs at each engine and reports the outcome of those runs
//! to the health tracker.
class EngineLoadTracker
{
public:
    EngineLoadTracker(process::servers::ServerTable &servers, process::health::ServerHealth &health,
                      EngineStates &states)
        : m_servers(servers)
        , m_health(health)
        , m_states(states)
    { }

    auto setTable(version::routing::RoutingTablePtr table) -> void { m_table = std::move(table); }
    //! The engines that may receive items. reservedTokens is left at 0. \a serversReadAt: the list
    //! of servers holds all that was in the log at this time.
    auto loads(base::TimePoint serversReadAt, base::TimePoint now) const -> std::vector<EngineLoad>;
    auto runningAt(const std::string &engine) const -> std::uint32_t;

    auto noteStart(const std::string &engine, base::TimePoint now) -> void;
    auto noteEnd(const std::string &engine) -> void;
    //! Items are waiting that none of \a engines could take.
    auto noteHeldBack(const std::vector<EngineLoad> &engines, base::TimePoint now) -> void;
    //! Observes what the response of \a engine to an item of \a size, sent at \a sentAt, says of
    //! the engine.
    auto headObserver(const std::string &engine, const process::health::RequestSize &size,
                      base::TimePoint sentAt) -> serverprotocol::HeadObserver;
    //! Updates the health of \a server from how \a run ended.
    auto noteOutcome(const process::servers::Server &server, const ItemRun &run, RunEnd end,
                     base::TimePoint now) -> void;

private:
    auto coldStartRule(const std::string &service) const -> process::health::ColdRule;

    process::servers::ServerTable &m_servers;
    process::health::ServerHealth &m_health;
    EngineStates &m_states;
    version::routing::RoutingTablePtr m_table;
    std::map<std::string, std::uint32_t> m_running; //!< Number of runs by engine id.
};

} // namespace nutmegplank::request::rollout
