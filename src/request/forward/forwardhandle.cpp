#include "request/forward/forwardhandle.h"

namespace nutmegplank::request::forward {

auto ForwardHandle::cancel() -> void
{
    m_cancelled = true;
    if (m_connection != nullptr)
        m_connection->close();
}

auto ForwardHandle::stop() -> void
{
    m_stopped = true;
    if (m_connection != nullptr)
        m_connection->close();
}

auto ForwardHandle::attach(connection::backend::ConnectionPtr connection) -> void
{
    m_connection = std::move(connection);
    if (m_cancelled || m_stopped)
        m_connection->close();
}

} // namespace nutmegplank::request::forward
