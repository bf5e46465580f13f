#pragma once

#include <memory>
#include <string>

#include "connection/backend/backendpool.h"
#include "connection/backend/probe.h"
#include "process/inventory/iinventory.h"
#include "request/limit/ilimit.h"
#include "request/placement/iplacement.h"

namespace nutmegplank::process::dispatch {

//! What one contact has shown about a server.
enum class ServerNews {
    Nothing,
    Restarted, //!< Another boot id: what ran on it is gone and it is cold.
};

//! One backend server as its shard's dispatcher knows it. Soft state; on the shard's strand.
class ServerEntry
{
public:
    ServerEntry(inventory::BackendServer server, request::limit::LimitPolicy policy,
                request::limit::LimitOptions options, connection::backend::BackendPoolOptions pool,
                base::TimePoint now);

    //! Nothing learned earlier counts any more, for instance after the shard was elsewhere.
    auto forget(base::TimePoint now) -> void;
    auto onProbe(const connection::backend::ProbeResult &result, base::TimePoint now) -> ServerNews;
    auto onBootId(const std::string &bootId, base::TimePoint now) -> ServerNews;
    auto onWeightVersion(std::uint64_t version) -> void;
    //! A connection broke or went silent; gives how many other requests ran here then. Several
    //! failures of one death give the same number.
    auto onConnectionLost(base::TimePoint now) -> std::uint32_t;
    auto onStart() -> void;
    auto onEnd() -> void { --m_running; }
    auto hold(base::TimePoint until) -> void { m_heldUntil = until; }
    auto setServer(inventory::BackendServer server) -> void { m_server = std::move(server); }
    //! Takes changed limits over; the server then counts as cold.
    auto setLimits(request::limit::LimitPolicy policy, request::limit::LimitOptions options,
                   base::TimePoint now) -> void;
    auto setZoneOut(bool out) -> void { m_zoneOut = out; }
    auto setGone(bool gone) -> void { m_gone = gone; }
    auto setAlone(bool alone) -> void { m_alone = alone; }
    //! While a fresh connection is being tried, the server gets no new work.
    auto beginSuspicion() -> void { ++m_suspicions; }
    auto endSuspicion() -> void { --m_suspicions; }

    auto candidate(base::TimePoint now) const -> request::placement::Candidate;
    //! Requests that it may have at \a now, its cold start and work of other processes considered.
    auto allowance(base::TimePoint now) const -> std::uint32_t;
    auto isCold(base::TimePoint now) const -> bool;
    //! Whether it may get new work at all, probes included.
    auto inService() const -> bool;
    auto server() const -> const inventory::BackendServer & { return m_server; }
    auto pool() -> connection::backend::BackendPool & { return m_pool; }
    auto limit() -> request::limit::ILimit & { return *m_limit; }
    auto alive() const -> bool { return m_alive; }
    auto gone() const -> bool { return m_gone; }
    auto running() const -> std::uint32_t { return m_running; }
    auto weightVersion() const -> std::uint64_t { return m_weightVersion; }
    auto bootId() const -> const std::string & { return m_bootId; }

private:
    auto noteLoad(const connection::backend::ProbeResult &result, base::TimePoint now) -> void;
    auto noteFailure(connection::backend::ProbeVerdict verdict) -> void;

    inventory::BackendServer m_server;
    std::unique_ptr<request::limit::ILimit> m_limit;
    request::limit::LimitOptions m_options;
    connection::backend::BackendPool m_pool;
    base::TimePoint m_since; //!< When this dispatcher began to look after it.
    base::TimePoint m_heldUntil {};
    base::TimePoint m_lostAt {};
    std::string m_bootId;
    std::uint64_t m_weightVersion = 0;
    std::uint32_t m_running = 0;
    std::uint32_t m_peakRunning = 0; //!< Since the last but one probe.
    std::uint32_t m_lastPeak = 0;
    std::uint32_t m_foreign = 0; //!< Requests of other processes, as far as it reports load.
    std::uint32_t m_lostBeside = 0;
    std::uint32_t m_suspicions = 0;
    std::uint32_t m_failures = 0; //!< Probes in a row without an answer.
    bool m_alive = false;
    bool m_contacted = false; //!< Since m_since.
    bool m_reportedCold = false;
    bool m_zoneOut = false;
    bool m_gone = false;
    bool m_alone = false;
};

using ServerEntryPtr = std::shared_ptr<ServerEntry>;

} // namespace nutmegplank::process::dispatch
