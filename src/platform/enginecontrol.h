#pragma once

#include <string>

#include "connection/backend/backendpools.h"
#include "version/waves/ienginecontrol.h"

namespace nutmegplank::platform {

//! Orders to engines and their reports, as the platform spells them.
class EngineControl : public version::waves::IEngineControl
{
public:
    //! \a holder names this machine in its orders.
    EngineControl(std::string holder, connection::backend::BackendPools &pools)
        : m_holder(std::move(holder))
        , m_pools(pools)
    { }

    auto order(version::waves::WeightOrder order)
        -> boost::asio::awaitable<version::waves::OrderOutcome> override;
    auto report(std::string engine, std::string endpoint)
        -> boost::asio::awaitable<absl::StatusOr<version::waves::EngineReport>> override;

private:
    std::string m_holder;
    connection::backend::BackendPools &m_pools;
};

} // namespace nutmegplank::platform
