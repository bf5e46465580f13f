#pragma once

#include "connection/http/httpserver.h"
#include "logfaults.h"
#include "logstore.h"

namespace nutmegplank::standins::log {

//! The service: appends, long polls and its controls. Safe for several threads.
class LogService
{
public:
    auto handle(connection::http::Request request, connection::http::IHttpResponder &responder)
        -> boost::asio::awaitable<void>;
    //! Sets faults as a POST to /control does.
    auto control(const connection::http::Request &request) -> connection::http::Response;
    auto stats() const -> boost::json::object;

private:
    auto append(const connection::http::Request &request,
                connection::http::IHttpResponder &responder) -> boost::asio::awaitable<void>;
    auto read(const connection::http::Request &request, connection::http::IHttpResponder &responder)
        -> boost::asio::awaitable<void>;

    LogStore m_store;
    LogFaults m_faults;
    std::atomic<std::uint64_t> m_reads { 0 };
};

} // namespace nutmegplank::standins::log
