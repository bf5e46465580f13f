#pragma once

#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "connection/backend/backendpool.h"
#include "process/health/requestsize.h"
#include "request/scoring/scoringdecision.h"
#include "request/serverprotocol/headobservation.h"
#include "version/batch/batch.h"

namespace nutmegplank::request::scoring {

struct CallOutcome
{
    CallEnd end = CallEnd::Lost;
    std::uint32_t status = 0; //!< HTTP status; 0 if there was no complete response.
    std::string score;        //!< Only if scored.
    std::string detail;       //!< For logs.
};

//! One call of a scorer at one backend server.
class ScoringCall
{
public:
    //! \a protocol must outlive the call.
    ScoringCall(version::batch::Scorer scorer, std::string serverId, base::Duration timeLimit,
                const serverprotocol::IServerProtocol &protocol,
                serverprotocol::HeadObserver onHead);

    auto run(std::shared_ptr<connection::backend::BackendPool> pool)
        -> boost::asio::awaitable<CallOutcome>;
    auto size() const -> process::health::RequestSize { return sizeOf(m_scorer); }
    static auto sizeOf(const version::batch::Scorer &scorer) -> process::health::RequestSize;
    //! Closes the connection; run() then returns CallEnd::Cancelled.
    auto cancel() -> void;

private:
    auto buildRequest() const -> connection::http::Request;
    auto exchange(connection::http::IHttpConnection &connection, base::TimePoint deadline)
        -> boost::asio::awaitable<CallOutcome>;
    auto classify(const connection::http::Response &response,
                  const serverprotocol::ResponseMetadata &metadata) const -> CallOutcome;

    version::batch::Scorer m_scorer;
    std::string m_serverId;
    base::Duration m_timeLimit;
    const serverprotocol::IServerProtocol &m_protocol;
    serverprotocol::HeadObserver m_onHead;
    connection::backend::ConnectionPtr m_connection;
    bool m_cancelled = false;
    bool m_skippedOthers = false; //!< Responses to other requests arrived first.
};

} // namespace nutmegplank::request::scoring
