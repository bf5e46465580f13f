#pragma once

#include "connection/backend/backendpools.h"

namespace nutmegplank::request::forward {

//! Cancels a running request when its caller disconnects, by closing the connection of the current
//! attempt.
class ForwardHandle
{
public:
    auto cancel() -> void;
    auto cancelled() const -> bool { return m_cancelled; }
    //! Sets the connection to close on cancel(); closes it immediately if already cancelled.
    auto attach(connection::backend::ConnectionPtr connection) -> void;
    auto detach() -> void { m_connection.reset(); }

private:
    connection::backend::ConnectionPtr m_connection;
    bool m_cancelled = false;
};

} // namespace nutmegplank::request::forward
