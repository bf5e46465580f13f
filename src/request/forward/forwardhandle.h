#pragma once

#include "connection/backend/backendpools.h"

namespace nutmegplank::request::forward {

//! Ends a running request by closing the connection of the current attempt: when its caller
//! disconnects, or when this process has no time left to wait for its answer.
class ForwardHandle
{
public:
    //! The caller is gone.
    auto cancel() -> void;
    auto cancelled() const -> bool { return m_cancelled; }
    //! The caller gets what is known so far.
    auto stop() -> void;
    auto stopped() const -> bool { return m_stopped; }
    //! Sets the connection to close on cancel() and stop(); closes it immediately after either.
    auto attach(connection::backend::ConnectionPtr connection) -> void;
    auto detach() -> void { m_connection.reset(); }

private:
    connection::backend::ConnectionPtr m_connection;
    bool m_cancelled = false;
    bool m_stopped = false;
};

} // namespace nutmegplank::request::forward
