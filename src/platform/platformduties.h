#pragma once

#include <memory>
#include <string>

#include "connection/backend/backendpool.h"
#include "process/capacity/iplatformduties.h"
#include "version/leadership/fencedcalls.h"

namespace nutmegplank::platform {

//! Sends usage reports and scaling orders to the platform's HTTP interface.
class PlatformDuties : public process::capacity::IPlatformDuties
{
public:
    PlatformDuties(std::string endpoint, std::string holder,
                   version::leadership::FencedCalls &calls);

    auto reportUsage(version::metering::ClosedWindow window, std::uint64_t fence)
        -> boost::asio::awaitable<process::capacity::DutyOutcome> override;
    auto orderServers(process::capacity::CapacityOrder order, std::uint64_t fence)
        -> boost::asio::awaitable<process::capacity::DutyOutcome> override;

private:
    auto post(std::string path, std::string body, std::uint64_t fence)
        -> boost::asio::awaitable<process::capacity::DutyOutcome>;

    std::string m_holder;
    version::leadership::FencedCalls &m_calls;
    std::shared_ptr<connection::backend::BackendPool> m_pool;
};

} // namespace nutmegplank::platform
