#pragma once

#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "base/enumtable.h"
#include "connection/backend/backendpools.h"
#include "process/health/requestsize.h"
#include "request/rollout/transcript.h"
#include "request/serverprotocol/headobservation.h"

namespace nutmegplank::request::rollout {

//! How one run of an item at an engine ended.
enum class RunEnd {
    Completed,
    Unreachable, //!< No connection could be made; nothing was sent.
    Foreign,     //!< Only responses to other requests arrived on the connection.
    NotRun,      //!< The engine refused the item without running it.
    WrongServer, //!< The address belongs to another server, or the weights have another version.
    Failed,      //!< The engine ran the item and returned an error.
    Impossible,  //!< The engine rejected the item as one that can never be run.
    Rejected,    //!< The engine faults this item, but may take it later.
    Unstamped,   //!< The response bears no stamp of an engine; nobody knows whose it is.
    Broken,      //!< Incomplete or unexpected response; text received so far is valid.
    Malformed,   //!< The response is invalid and its text cannot be used.
    Oversized,   //!< More text than the item may have; the text cannot be used.
    Outdated,    //!< Weights older than allowed, or changed where a single version is required.
    Cancelled,   //!< Ended by this process, e.g. to move the item to another engine.
};

constexpr auto RUN_END_NAMES = base::EnumTable<RunEnd, 14> { {
    { RunEnd::Completed, "completed" },
    { RunEnd::Unreachable, "unreachable" },
    { RunEnd::Foreign, "foreign" },
    { RunEnd::NotRun, "not_run" },
    { RunEnd::WrongServer, "wrong_server" },
    { RunEnd::Failed, "failed" },
    { RunEnd::Impossible, "impossible" },
    { RunEnd::Rejected, "rejected" },
    { RunEnd::Unstamped, "unstamped" },
    { RunEnd::Broken, "broken" },
    { RunEnd::Malformed, "malformed" },
    { RunEnd::Oversized, "oversized" },
    { RunEnd::Outdated, "outdated" },
    { RunEnd::Cancelled, "cancelled" },
} };

struct RunOutcome
{
    RunEnd end = RunEnd::Broken;
    std::uint32_t status = 0;                   //!< HTTP status; 0 if there was no response head.
    std::string detail;                         //!< For logs.
    std::optional<std::uint64_t> weightVersion; //!< The last one that the engine reported.
};

//! A single run of an item at an engine. Appends events to the item's transcript as they arrive.
class ItemRun : public std::enable_shared_from_this<ItemRun>
{
public:
    //! A response that does not carry \a requestId belongs to another request. \a software is the
    //! software version of the engine.
    ItemRun(connection::http::Request request, std::string requestId,
            process::health::RequestSize size, std::shared_ptr<Transcript> transcript,
            const serverprotocol::IServerProtocol &protocol, std::string software,
            serverprotocol::HeadObserver onHead);

    auto run(std::shared_ptr<connection::backend::BackendPool> pool)
        -> boost::asio::awaitable<RunOutcome>;
    //! Closes the connection, which makes the engine drop the request; run() then returns \a end.
    auto cancel(RunEnd end, std::string reason) -> void;

    //! Time of the last event, or of the start if there is none yet.
    auto lastProgressAt() const -> base::TimePoint { return m_lastProgressAt; }
    auto size() const -> const process::health::RequestSize & { return m_size; }
    auto gotHead() const -> bool { return m_gotHead; }
    //! Events received in this run.
    auto runEvents() const -> std::uint32_t { return m_runEvents; }
    auto startedAt() const -> base::TimePoint { return m_startedAt; }

private:
    auto exchange(connection::http::IHttpConnection &connection)
        -> boost::asio::awaitable<RunOutcome>;
    auto readEvents(connection::http::IHttpConnection &connection)
        -> boost::asio::awaitable<RunOutcome>;
    auto appendEvents(const std::vector<Event> &events) -> std::optional<RunOutcome>;
    auto classifyHead(const connection::http::Response &head,
                      const serverprotocol::ResponseMetadata &metadata)
        -> std::optional<RunOutcome>;

    connection::http::Request m_request;
    std::string m_requestId;
    process::health::RequestSize m_size;
    std::shared_ptr<Transcript> m_transcript;
    const serverprotocol::IServerProtocol &m_protocol;
    std::string m_software;
    serverprotocol::HeadObserver m_onHead;
    connection::backend::ConnectionPtr m_connection;
    std::optional<RunOutcome> m_cancelled;
    std::optional<std::uint64_t> m_weightVersion;
    base::TimePoint m_startedAt {};
    base::TimePoint m_lastProgressAt {};
    std::uint32_t m_runEvents = 0;
    bool m_gotHead = false;
    bool m_skippedOthers = false; //!< Responses to other requests arrived first.
};

} // namespace nutmegplank::request::rollout
