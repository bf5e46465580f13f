#pragma once

#include <functional>
#include <string>

#include "connection/backend/backendpools.h"
#include "version/leadership/fencedcalls.h"
#include "version/waves/ienginecontrol.h"

namespace nutmegplank::platform {

//! Sends weight-loading orders to engines and reads their reports in the platform's HTTP format.
class EngineControl : public version::waves::IEngineControl
{
public:
    //! Called with each response of an engine to a call that was sent at \a sentAt.
    using ResponseObserver =
        std::function<void(const std::string &engine, const connection::http::Response &response,
                           base::TimePoint sentAt)>;

    //! \a holder identifies this machine in its orders.
    EngineControl(std::string holder, connection::backend::BackendPools &pools,
                  version::leadership::FencedCalls &calls, ResponseObserver onResponse)
        : m_holder(std::move(holder))
        , m_pools(pools)
        , m_calls(calls)
        , m_onResponse(std::move(onResponse))
    { }

    auto order(version::waves::WeightOrder order)
        -> boost::asio::awaitable<version::waves::OrderOutcome> override;
    auto report(std::string engine, std::string endpoint)
        -> boost::asio::awaitable<absl::StatusOr<version::waves::EngineReport>> override;

private:
    std::string m_holder;
    connection::backend::BackendPools &m_pools;
    version::leadership::FencedCalls &m_calls;
    ResponseObserver m_onResponse;
};

} // namespace nutmegplank::platform
