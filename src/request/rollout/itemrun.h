#pragma once

#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "base/enumtable.h"
#include "connection/backend/backendpools.h"
#include "request/rollout/transcript.h"
#include "request/serverprotocol/iserverprotocol.h"

namespace nutmegplank::request::rollout {

//! How one run of an item at an engine ended.
enum class RunEnd {
    Completed,
    Unreachable, //!< No connection; nothing was sent.
    NotRun,      //!< The engine refused it without running it.
    WrongServer, //!< Another server has the address, or other weights.
    Failed,      //!< The engine ran it and answered with a failure.
    Impossible,  //!< The engine says that the item can never be done.
    Broken,      //!< The answer broke off; its text so far is good.
    Malformed,   //!< The answer contradicts itself.
    Outdated, //!< The engine's weights are older than allowed, or changed where one is asked for.
    Cancelled,
};

constexpr auto RUN_END_NAMES = base::EnumTable<RunEnd, 10> { {
    { RunEnd::Completed, "completed" },
    { RunEnd::Unreachable, "unreachable" },
    { RunEnd::NotRun, "not_run" },
    { RunEnd::WrongServer, "wrong_server" },
    { RunEnd::Failed, "failed" },
    { RunEnd::Impossible, "impossible" },
    { RunEnd::Broken, "broken" },
    { RunEnd::Malformed, "malformed" },
    { RunEnd::Outdated, "outdated" },
    { RunEnd::Cancelled, "cancelled" },
} };

struct RunOutcome
{
    RunEnd end = RunEnd::Broken;
    std::uint32_t status = 0;
    std::string detail;
    std::optional<std::uint64_t> weightVersion; //!< The newest that the engine showed.
};

//! One run of one item at one engine. Grows the item's transcript as events arrive.
class ItemRun : public std::enable_shared_from_this<ItemRun>
{
public:
    //! \a requestId is the id that the engine's answer must carry.
    ItemRun(connection::http::Request request, std::string requestId,
            std::shared_ptr<Transcript> transcript,
            const serverprotocol::IServerProtocol &protocol);

    auto run(std::shared_ptr<connection::backend::BackendPool> pool)
        -> boost::asio::awaitable<RunOutcome>;
    //! Ends the run soon, as \a end; the engine drops the request when its connection closes.
    auto cancel(RunEnd end, std::string reason) -> void;

    //! When the last event came; the start before the first one.
    auto progressAt() const -> base::TimePoint { return m_progressAt; }
    auto gotHead() const -> bool { return m_gotHead; }
    auto runEvents() const -> std::uint32_t { return m_runEvents; }
    auto startedAt() const -> base::TimePoint { return m_startedAt; }

private:
    auto exchange(connection::http::IHttpConnection &connection)
        -> boost::asio::awaitable<RunOutcome>;
    auto readEvents(connection::http::IHttpConnection &connection)
        -> boost::asio::awaitable<RunOutcome>;
    auto takeEvents(const std::vector<Event> &events) -> std::optional<RunOutcome>;
    auto judgeHead(const connection::http::Response &head) -> std::optional<RunOutcome>;

    connection::http::Request m_request;
    std::string m_requestId;
    std::shared_ptr<Transcript> m_transcript;
    const serverprotocol::IServerProtocol &m_protocol;
    connection::backend::ConnectionPtr m_connection;
    std::optional<RunOutcome> m_cancelled;
    std::optional<std::uint64_t> m_weightVersion;
    base::TimePoint m_startedAt {};
    base::TimePoint m_progressAt {};
    std::uint32_t m_runEvents = 0;
    bool m_gotHead = false;
};

} // namespace nutmegplank::request::rollout
