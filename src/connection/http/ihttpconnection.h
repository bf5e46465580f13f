#pragma once

#include <functional>
#include <optional>
#include <string>

#include <absl/status/statusor.h>
#include <boost/asio/awaitable.hpp>

#include "base/timepoint.h"
#include "connection/http/message.h"

namespace nutmegplank::connection::http {

//! One outgoing connection. An exchange is send(), readHead(), then readBody() until it gives
//! nullopt. Not safe for several coroutines at a time, except close().
class IHttpConnection
{
public:
    virtual ~IHttpConnection() = default;

    //! Writes the whole request. \a onFirstByte runs just before the first byte is handed to the
    //! system.
    virtual auto send(const Request &request, base::Duration timeout,
                      std::function<void()> onFirstByte = {})
        -> boost::asio::awaitable<absl::Status> = 0;
    //! Status and headers of the answer.
    virtual auto readHead(base::Duration timeout)
        -> boost::asio::awaitable<absl::StatusOr<Response>> = 0;
    //! The next part of the body; nullopt after the last one, an error when the answer is
    //! truncated.
    virtual auto readBody(base::Duration timeout)
        -> boost::asio::awaitable<absl::StatusOr<std::optional<std::string>>> = 0;
    //! Whether the last exchange was read to its end and the peer keeps the connection.
    virtual auto reusable() const -> bool = 0;
    //! Whether nothing has arrived since the last exchange. Bytes that belong to no request, or the
    //! peer's close, make a kept connection unusable.
    virtual auto quiet() -> bool { return true; }
    //! How long the peer keeps the connection when it is idle; 0 when it does not say.
    virtual auto keepAlive() const -> base::Duration { return base::Duration(0); }
    //! Ends the connection; a running call returns an error. Call it on the connection's executor.
    virtual auto close() -> void = 0;
    //! Ends the connection and discards bytes that are unsent or unacknowledged. A peer behind an
    //! interrupted network would otherwise receive them once the network is back.
    virtual auto reset() -> void { close(); }
};

} // namespace nutmegplank::connection::http
