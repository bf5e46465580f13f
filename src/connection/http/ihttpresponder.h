#pragma once

#include <functional>
#include <string_view>

#include <absl/status/status.h>
#include <boost/asio/awaitable.hpp>

#include "connection/http/message.h"

namespace nutmegplank::connection::http {

//! The answering side of one HTTP exchange. Either respond() once, or startStream(), writeChunk()
//! as often as needed and endStream(). An error means that the caller is gone. Anything else that
//! is asked for ends the connection, since the caller could not tell it from its answer: a second
//! head, or a part of a body without a head.
class IHttpResponder
{
public:
    virtual ~IHttpResponder() = default;

    virtual auto respond(Response response) -> boost::asio::awaitable<absl::Status> = 0;
    //! Sends status and headers of a chunked answer; the body of \a head is ignored.
    virtual auto startStream(Response head) -> boost::asio::awaitable<absl::Status> = 0;
    virtual auto writeChunk(std::string_view data) -> boost::asio::awaitable<absl::Status> = 0;
    virtual auto endStream() -> boost::asio::awaitable<absl::Status> = 0;
    //! Breaks the connection, so that the caller sees a cut answer and not a whole one.
    virtual auto abort() -> void = 0;
    //! Whether anything of the answer has been sent.
    virtual auto started() const -> bool = 0;
    //! \a hook runs once if the caller closes its connection before the answer is complete. It must
    //! not end the responder itself.
    virtual auto onCallerGone(std::function<void()> hook) -> void { (void)hook; }
};

} // namespace nutmegplank::connection::http
