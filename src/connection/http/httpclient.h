#pragma once

#include <memory>
#include <string>

#include <absl/status/statusor.h>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ssl/context.hpp>

#include "connection/http/ihttpconnection.h"

//! HTTP towards backend servers, the platform and other processes, over Boost.Beast.
namespace nutmegplank::connection::http {

//! How to connect.
struct ConnectOptions
{
    base::Duration timeout = std::chrono::seconds(2);
    //! TCP_USER_TIMEOUT: unacknowledged bytes older than this end the connection; 0 = the system's
    //! default.
    base::Duration userTimeout = std::chrono::seconds(5);
    std::uint64_t bodyBytes = 64 * 1024 * 1024;     //!< Largest answer.
    std::shared_ptr<boost::asio::ssl::context> tls; //!< Null for plain TCP.
};

//! Connects to \a endpoint ("IP number:port") on the executor of the calling coroutine.
auto connect(std::string endpoint, ConnectOptions options = {})
    -> boost::asio::awaitable<absl::StatusOr<std::unique_ptr<IHttpConnection>>>;

//! Whether connect() failed because nothing listens at the endpoint, whose host answers.
auto isRefused(const absl::Status &status) -> bool;
//! Whether an answer was given up because it is larger than ConnectOptions::bodyBytes.
auto isTooLarge(const absl::Status &status) -> bool;

//! One exchange on \a connection, with the whole body. The caller closes the connection or keeps
//! it. On an error, whether the peer acted is not known.
auto exchangeWhole(IHttpConnection &connection, const Request &request, base::TimePoint deadline)
    -> boost::asio::awaitable<absl::StatusOr<Response>>;

//! Reads the body of an answer to its end and keeps nothing of it; \a timeLeft limits each read.
auto discardBody(IHttpConnection &connection, std::function<base::Duration()> timeLeft)
    -> boost::asio::awaitable<absl::Status>;

//! One exchange on a connection of its own, with the whole body; \a timeout covers all of it. On an
//! error after connecting, whether the peer acted is not known.
auto fetch(std::string endpoint, Request request, base::Duration timeout,
           ConnectOptions options = {}) -> boost::asio::awaitable<absl::StatusOr<Response>>;

} // namespace nutmegplank::connection::http
