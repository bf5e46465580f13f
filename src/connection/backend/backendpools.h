#pragma once

#include <map>
#include <memory>
#include <string>

#include "connection/backend/backendpool.h"

namespace nutmegplank::connection::backend {

//! The pools of all backend servers that this process speaks to, by server. All calls on one
//! strand.
class BackendPools
{
public:
    explicit BackendPools(BackendPoolOptions options)
        : m_options(std::move(options))
    { }

    //! The pool of \a server; a new one when the server has moved to another \a endpoint.
    auto pool(const std::string &server, const std::string &endpoint)
        -> std::shared_ptr<BackendPool>;
    auto forget(const std::string &server) -> void;

private:
    struct Entry
    {
        std::string endpoint;
        std::shared_ptr<BackendPool> pool;
    };

    BackendPoolOptions m_options;
    std::map<std::string, Entry> m_pools;
};

} // namespace nutmegplank::connection::backend
