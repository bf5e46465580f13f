#include "connection/backend/backendpools.h"

namespace nutmegplank::connection::backend {

auto BackendPools::pool(const std::string &server, const std::string &endpoint)
    -> std::shared_ptr<BackendPool>
{
    auto &entry = m_pools[server];
    if (entry.pool == nullptr || entry.endpoint != endpoint)
        entry = Entry { endpoint, std::make_shared<BackendPool>(endpoint, m_options) };
    return entry.pool;
}

auto BackendPools::forget(const std::string &server) -> void
{
    const auto found = m_pools.find(server);
    if (found == m_pools.end())
        return;
    found->second.pool->clear();
    m_pools.erase(found);
}

} // namespace nutmegplank::connection::backend
