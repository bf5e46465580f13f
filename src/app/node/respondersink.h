#pragma once

#include "connection/http/ihttpresponder.h"
#include "request/call/call.h"
#include "request/forward/forwarder.h"

namespace nutmegplank::app::node {

//! Passes a streamed answer on to its caller as it arrives.
class ResponderSink : public request::forward::IAnswerSink
{
public:
    //! Both parameters must outlive the sink.
    ResponderSink(connection::http::IHttpResponder &responder,
                  const request::call::ICallProtocol &protocol)
        : m_responder(responder)
        , m_protocol(protocol)
    { }

    auto begin(const request::serverprotocol::ServerHead &head)
        -> boost::asio::awaitable<absl::Status> override
    {
        auto answer = m_protocol.toCallerResponse(head.response());
        co_return co_await m_responder.startStream(std::move(answer));
    }
    auto write(std::string data) -> boost::asio::awaitable<absl::Status> override
    {
        co_return co_await m_responder.writeChunk(data);
    }

private:
    connection::http::IHttpResponder &m_responder;
    const request::call::ICallProtocol &m_protocol;
};

} // namespace nutmegplank::app::node
