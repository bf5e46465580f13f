#include "connection/backend/backendpool.h"

namespace nutmegplank::connection::backend {

namespace {

//! A connection is given up this long before its peer would close it.
constexpr auto KEEP_ALIVE_MARGIN = std::chrono::milliseconds(700);

} // namespace

auto BackendPool::acquire(Repeatable repeatable, base::TimePoint now)
    -> boost::asio::awaitable<absl::StatusOr<ConnectionPtr>>
{
    while (!m_idle.empty() && now - m_idle.back().since > m_options.idleTime) {
        m_idle.back().connection->close();
        m_idle.pop_back();
    }
    const auto allowed = repeatable == Repeatable::Yes ? m_options.idleTime : m_options.provenTime;
    while (!m_idle.empty() && now - m_idle.front().since <= allowed) {
        auto idle = std::move(m_idle.front());
        m_idle.pop_front();
        if (now < idle.until && idle.connection->quiet())
            co_return std::move(idle.connection);
        idle.connection->close();
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
    const auto promised = connection->keepAlive();
    const auto usable = promised.count() > 0 ? promised - KEEP_ALIVE_MARGIN : m_options.idleTime;
    m_idle.push_front(Idle { std::move(connection), now, now + usable });
}

auto BackendPool::clear() -> void
{
    for (auto &idle : m_idle)
        idle.connection->close();
    m_idle.clear();
}

} // namespace nutmegplank::connection::backend
