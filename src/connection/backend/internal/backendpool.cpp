#include "connection/backend/backendpool.h"

namespace nutmegplank::connection::backend {

auto BackendPool::acquire(Repeatable repeatable, base::TimePoint now)
    -> boost::asio::awaitable<absl::StatusOr<ConnectionPtr>>
{
    while (!m_idle.empty() && now - m_idle.back().since > m_options.idleTime) {
        m_idle.back().connection->close();
        m_idle.pop_back();
    }
    const auto allowed = repeatable == Repeatable::Yes ? m_options.idleTime : m_options.provenTime;
    if (!m_idle.empty() && now - m_idle.front().since <= allowed) {
        auto connection = std::move(m_idle.front().connection);
        m_idle.pop_front();
        co_return connection;
    }
    auto made = co_await http::connect(m_endpoint, m_options.connect);
    if (!made.ok())
        co_return made.status();
    co_return ConnectionPtr(std::move(*made));
}

auto BackendPool::release(ConnectionPtr connection, base::TimePoint now) -> void
{
    if (!connection->reusable() || m_idle.size() >= m_options.mostIdle) {
        connection->close();
        return;
    }
    m_idle.push_front(Idle { std::move(connection), now });
}

auto BackendPool::clear() -> void
{
    for (auto &idle : m_idle)
        idle.connection->close();
    m_idle.clear();
}

} // namespace nutmegplank::connection::backend
