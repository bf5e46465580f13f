#pragma once

#include <map>
#include <memory>
#include <string>

#include <boost/asio.hpp>

#include "connection/http/ihttpresponder.h"
#include "standins/common/coldstart.h"

namespace nutmegplank::standins {

struct PlainOptions
{
    ColdStartOptions cold;
    base::Duration latency = std::chrono::milliseconds(5);
    std::uint32_t mostRunning = 64;
};

//! A plain service whose orders may not be repeated; it counts how often each one ran.
class PlainServer
{
public:
    PlainServer(PlainOptions options, base::TimePoint now);

    auto handle(connection::http::Request request, connection::http::IHttpResponder &responder)
        -> boost::asio::awaitable<void>;

private:
    auto control(const std::string &body) -> connection::http::Response;
    auto stats() const -> connection::http::Response;
    auto serve(connection::http::Request request, connection::http::IHttpResponder &responder)
        -> boost::asio::awaitable<void>;
    auto work(const connection::http::Request &request) -> connection::http::Response;
    auto pause(base::Duration duration) -> boost::asio::awaitable<void>;
    auto thawed() -> boost::asio::awaitable<void>;

    PlainOptions m_options;
    ColdStart m_life;
    std::map<std::string, std::uint32_t> m_orders; //!< Runs by order id.
    std::uint64_t m_requests = 0;
    std::uint64_t m_keysSeen = 0;
    std::uint64_t m_answersToDrop = 0;
    double m_slowFactor = 1;
    bool m_frozen = false;
    bool m_busy = false;
};

} // namespace nutmegplank::standins
