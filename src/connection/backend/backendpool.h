#pragma once

#include <list>
#include <memory>
#include <string>

#include <absl/status/statusor.h>
#include <boost/asio/awaitable.hpp>

#include "connection/http/httpclient.h"

//! HTTP connections to one backend server.
namespace nutmegplank::connection::backend {

using ConnectionPtr = std::shared_ptr<http::IHttpConnection>;

//! How connections are made and kept.
struct BackendPoolOptions
{
    http::ConnectOptions connect;
    //! A kept connection that was idle for longer is not used any more: it may be silent for good.
    base::Duration idleTime = std::chrono::seconds(10);
    //! The same for requests that may not be repeated.
    base::Duration provenTime = std::chrono::milliseconds(500);
    std::size_t mostIdle = 32;
};

//! What the request on a connection allows.
enum class Repeatable {
    Yes,
    No, //!< Needs a fresh connection, or one that answered a moment ago.
};

//! Keeps connections whose last answer was read to its end; one with an unanswered request is never
//! used again. All calls on one strand.
class BackendPool
{
public:
    BackendPool(std::string endpoint, BackendPoolOptions options)
        : m_endpoint(std::move(endpoint))
        , m_options(std::move(options))
    { }

    //! A kept connection or a new one.
    auto acquire(Repeatable repeatable, base::TimePoint now)
        -> boost::asio::awaitable<absl::StatusOr<ConnectionPtr>>;
    //! Keeps \a connection if it may be used again.
    auto release(ConnectionPtr connection, base::TimePoint now) -> void;
    //! Closes all kept connections: the server has died or one of them went silent.
    auto clear() -> void;
    auto idleCount() const -> std::size_t { return m_idle.size(); }

private:
    struct Idle
    {
        ConnectionPtr connection;
        base::TimePoint since;
        base::TimePoint until; //!< The peer may close it from here on.
    };

    std::string m_endpoint;
    BackendPoolOptions m_options;
    std::list<Idle> m_idle; //!< Latest use first.
};

} // namespace nutmegplank::connection::backend
