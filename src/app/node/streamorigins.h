#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "process/servers/servertable.h"
#include "request/forward/istreamorigins.h"
#include "version/journal/ijournal.h"
#include "version/streamorigin/baselineplanner.h"
#include "version/streamorigin/originlog.h"

namespace nutmegplank::app::node {

//! Callbacks of StreamOrigins; both must be set.
struct StreamOriginHooks
{
    std::function<bool(base::TimePoint now)> isInCharge;
    //! Reads the list of servers as it is now; false if that failed.
    std::function<boost::asio::awaitable<bool>()> refreshServers;
};

//! Keeps the origins of callers' streams in the log: writes them many at a time, reads them when a
//! stream is taken up, and, on the machine in charge, sets the baselines.
class StreamOrigins : public request::forward::IStreamOrigins
{
public:
    StreamOrigins(boost::asio::io_context &context, version::journal::IJournal &journal,
                  const process::servers::ServerTable &servers, StreamOriginHooks hooks);

    //! Starts to follow the baselines. Not called where no route has streams that can be resumed,
    //! so that nothing is read there.
    auto start() -> void;
    //! A server came into service, wrote its record again, or left.
    auto noteServer(const std::string &service, const std::string &software) -> void;
    //! The history of the list of servers was lost up to now.
    auto noteServerGap() -> void;

    auto mustRecord(const std::string &service, const std::string &software) const -> bool override;
    auto canRecord() const -> bool override;
    auto record(version::streamorigin::StreamOrigin origin)
        -> boost::asio::awaitable<bool> override;
    auto find(std::string service, std::string requestId, version::routing::Owner caller)
        -> boost::asio::awaitable<request::forward::OriginAnswer> override;

private:
    struct Pending
    {
        Pending(boost::asio::io_context &context, version::streamorigin::StreamOrigin pendingOrigin)
            : origin(std::move(pendingOrigin))
            , wake(context)
        { }

        version::streamorigin::StreamOrigin origin;
        boost::asio::steady_timer wake; //!< Cancelled when the append has ended.
        bool written = false;
    };

    auto baselineLoop() -> boost::asio::awaitable<void>;
    auto readBaselines() -> boost::asio::awaitable<std::optional<std::uint64_t>>;
    auto planBaselines(std::uint64_t end) -> boost::asio::awaitable<void>;
    auto versionsInService() const -> version::streamorigin::VersionsByService;
    auto writeLoop() -> boost::asio::awaitable<void>;
    auto readOrigins() -> boost::asio::awaitable<bool>;
    auto readOriginsToEnd() -> boost::asio::awaitable<bool>;

    boost::asio::io_context &m_context;
    version::journal::IJournal &m_journal;
    const process::servers::ServerTable &m_servers;
    StreamOriginHooks m_hooks;
    version::streamorigin::OriginLog m_log;
    version::streamorigin::BaselinePlanner m_planner;
    std::vector<std::shared_ptr<Pending>> m_pending;
    base::TimePoint m_failedAt {}; //!< Of the last append that failed.
    std::uint64_t m_position = 0;  //!< Next origin to read.
    std::uint64_t m_readsBegun = 0;
    std::uint64_t m_readsDone = 0; //!< Number of the last read that reached the end.
    bool m_reading = false;
    bool m_writing = false;
    bool m_started = false;
};

} // namespace nutmegplank::app::node
