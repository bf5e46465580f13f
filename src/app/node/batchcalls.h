#pragma once

#include <string>
#include <variant>

#include "app/node/batchstore.h"
#include "app/node/exchange.h"
#include "request/shutdown/shutdowngate.h"

namespace nutmegplank::app::node {

//! The log answers within this in calm times: a result is read, or a batch's end written.
constexpr auto BATCH_CALL_TIME = std::chrono::milliseconds(700);

//! Answers calls on batches that were accepted: reads of results and bodies, and ends.
class BatchCalls
{
public:
    BatchCalls(const request::call::ICallProtocol &protocol, BatchStore &batches,
               request::shutdown::ShutdownGate &shutdown)
        : m_protocol(protocol)
        , m_batches(batches)
        , m_shutdown(shutdown)
    { }

    auto answer(const Exchange &exchange) -> boost::asio::awaitable<connection::http::Response>;

private:
    using Answer = connection::http::Response;

    //! Returns the key of the batch that the call is on, or why the call is refused.
    auto findBatch(const Exchange &exchange)
        -> boost::asio::awaitable<std::variant<std::string, request::call::Refusal>>;
    auto hasReadLog(const version::routing::Owner &caller) -> boost::asio::awaitable<bool>;
    auto readResults(const Exchange &exchange, const std::string &key)
        -> boost::asio::awaitable<Answer>;
    auto readBody(const Exchange &exchange, const std::string &key)
        -> boost::asio::awaitable<Answer>;
    auto endBatch(const Exchange &exchange, const std::string &key)
        -> boost::asio::awaitable<Answer>;
    auto refuse(const Exchange &exchange, const request::call::Refusal &refusal) const -> Answer;

    const request::call::ICallProtocol &m_protocol;
    BatchStore &m_batches;
    request::shutdown::ShutdownGate &m_shutdown;
};

} // namespace nutmegplank::app::node
